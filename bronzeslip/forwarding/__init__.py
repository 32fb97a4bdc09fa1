"""Forwards requests directly to service endpoints."""
