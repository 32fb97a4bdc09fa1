"""Sidecar daemon beside an endpoint."""
