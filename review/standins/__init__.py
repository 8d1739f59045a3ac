"""Stand-ins of the platform, engines and callers for the cases of the review."""
