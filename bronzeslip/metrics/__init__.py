"""Prometheus metrics of the daemons."""
