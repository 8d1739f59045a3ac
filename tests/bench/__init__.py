"""Test the bench package."""
