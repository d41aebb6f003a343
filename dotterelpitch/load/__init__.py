"""Load generator with seeded workloads, and the routing experiment."""
