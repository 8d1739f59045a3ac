"""Soak test: real nodes under random faults, checked from callers and engines."""
