"""Test the common package."""
