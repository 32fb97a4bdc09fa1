"""Randomized faults against gateways on entry VMs."""
