"""Admission control for a single endpoint."""
