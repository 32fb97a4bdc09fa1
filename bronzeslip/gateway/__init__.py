"""Gateway daemon on an entry VM."""
