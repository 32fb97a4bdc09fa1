"""Replication of the platform's objects to every process through relays."""
