"""View of the load that endpoints have now."""
