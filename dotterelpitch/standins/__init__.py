"""Stand-ins for the platform, a model engine, and a plain service.

They serve tests and experiments only: routers, agents, and gateways never import
them.
"""
