"""Places models and adapters on engines, and brings engines to that state."""
