"""Stand-in for the platform."""
