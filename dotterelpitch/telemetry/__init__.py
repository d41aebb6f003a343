"""Numbered events, structured logs, metrics, and the operators' API."""
