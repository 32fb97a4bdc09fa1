"""Gateway on an entry VM that connects to endpoints directly."""
