"""Connections between the system's own processes."""
