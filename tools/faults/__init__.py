"""Fault matrix: histories, promises, steps and faults."""
