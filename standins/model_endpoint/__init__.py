"""Stand-in for a model endpoint of the users' platform."""
