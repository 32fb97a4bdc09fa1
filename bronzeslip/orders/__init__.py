"""Orders to engines under leases and fencing numbers."""
