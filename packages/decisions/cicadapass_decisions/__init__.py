"""Make the decisions of the serving system as plain functions over frozen data."""
