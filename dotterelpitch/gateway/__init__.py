"""The program for platforms that publish routes and engines themselves.

One process a VM reads the platform, takes callers' requests, and sends each to
an engine directly. ``docs/design/platform.md`` says how it relates to router
and agent.
"""
