"""Tests of claims of idempotency keys."""
