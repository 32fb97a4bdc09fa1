"""Stand-in for a model inference engine."""
