"""The gateway, for platforms that publish routes and engines themselves.

One process per VM reads the platform's store, accepts callers' requests, and
forwards each directly to an engine. ``docs/design/platform.md`` describes how it
relates to the router and the agent.
"""
