"""Metrics of the daemons."""
