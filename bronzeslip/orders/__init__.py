"""Orders to engines, protected by leases and fencing numbers."""
