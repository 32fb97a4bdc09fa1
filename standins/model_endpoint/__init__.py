"""Stand-in of an endpoint of the users' platform."""
