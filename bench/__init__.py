"""Benchmarks and simulated experiments."""
