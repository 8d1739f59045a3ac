"""Serve callers from an entry VM."""
