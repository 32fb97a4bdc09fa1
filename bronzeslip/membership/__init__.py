"""Registration of running processes and the state of their VMs."""
