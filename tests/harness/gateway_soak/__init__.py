"""Soak test of the gateway: real processes, external faults, checked guarantees."""
