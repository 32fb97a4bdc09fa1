"""Constraints on the locations that requests are sent to."""
