"""Permits that keep all gateways together within the limits of endpoints."""
