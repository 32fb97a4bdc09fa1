"""Stand-in for a plain HTTP service."""
