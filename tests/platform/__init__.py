"""Test the adapter to the users' platform."""
