"""Idempotency claims that ensure a call runs at most once."""
