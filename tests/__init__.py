"""Test the workspace."""
