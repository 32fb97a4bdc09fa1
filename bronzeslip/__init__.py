"""Serving system for language model generations of unknown length."""
