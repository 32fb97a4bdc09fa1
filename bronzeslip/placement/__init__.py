"""Coordinated placement of generations."""
