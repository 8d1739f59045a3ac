"""Test the decisions package."""
