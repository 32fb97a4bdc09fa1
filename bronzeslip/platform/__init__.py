"""Adapter to the platform that the users' machines stand on."""
