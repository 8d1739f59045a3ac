"""Run real nodes under random faults and check what callers and engines see."""
