"""Test the standins package."""
