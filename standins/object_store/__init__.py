"""Stand-in of the store of the users' platform, by its published protocol."""
