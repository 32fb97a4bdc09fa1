"""Endpoints that are called directly, and what is known of their load."""
