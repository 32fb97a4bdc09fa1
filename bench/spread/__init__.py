"""Simulation models of configuration distribution."""
