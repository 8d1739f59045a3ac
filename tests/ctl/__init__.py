"""Test the ctl package."""
