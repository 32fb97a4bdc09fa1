"""Clients and followers of the platform's object store."""
