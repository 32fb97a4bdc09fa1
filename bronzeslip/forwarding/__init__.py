"""Forwarding of requests to endpoints that are called directly."""
