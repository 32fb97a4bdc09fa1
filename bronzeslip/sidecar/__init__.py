"""Sidecar daemon, which runs next to an endpoint."""
