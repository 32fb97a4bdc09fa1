"""Durable claims that make a call run at most once."""
