"""Places models and adapters on engines, and reconciles engines with that."""
