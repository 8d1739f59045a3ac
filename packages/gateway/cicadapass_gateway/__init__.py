"""Serve callers of the pass-through interface on a platform behind an adapter."""
