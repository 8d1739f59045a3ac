"""The decisions of the serving system as pure functions over immutable data."""
