"""The router process, which routes callers' requests to endpoints."""
