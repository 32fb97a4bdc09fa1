"""Connections between processes of the system."""
