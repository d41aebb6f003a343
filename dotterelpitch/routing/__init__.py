"""Routing of requests: engine choice, load bounds, queues, limits, and retries."""
