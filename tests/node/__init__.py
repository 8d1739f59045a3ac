"""Test the node package."""
