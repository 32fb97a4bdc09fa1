"""Soak test that injects random faults around gateways on entry VMs."""
