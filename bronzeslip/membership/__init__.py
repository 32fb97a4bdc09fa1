"""Processes of the system and the state of their VMs."""
