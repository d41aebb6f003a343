"""A fleet of routers in front of model engines and plain HTTP services.

It sends each chat back to the engine that has its prompt cached.
"""
