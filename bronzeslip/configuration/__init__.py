"""Numbered configuration and its patches."""
