"""Endpoints that gateways call directly, and their load."""
