"""Stand-in for the platform: object store, VM list and weight store."""
