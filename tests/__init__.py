"""Tests of all packages."""
