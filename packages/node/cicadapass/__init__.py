"""The node of an entry VM, which serves callers."""
