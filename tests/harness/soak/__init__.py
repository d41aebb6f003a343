"""Soak test of a small fleet: seeded random faults and seven checked guarantees."""
