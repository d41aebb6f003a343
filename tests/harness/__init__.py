"""Real processes behind fault-injecting proxies, for tests and benchmarks."""
