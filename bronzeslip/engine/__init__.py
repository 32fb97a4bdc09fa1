"""Client of a model engine."""
