"""Gateway on an entry VM that calls endpoints itself."""
