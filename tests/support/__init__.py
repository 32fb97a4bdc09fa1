"""Fakes and helpers for the tests."""
