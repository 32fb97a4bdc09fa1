"""Adapter to the platform that hosts the VMs of gateways and endpoints."""
