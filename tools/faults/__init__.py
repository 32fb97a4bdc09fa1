"""Fault matrix: faults injected at the steps of a request."""
