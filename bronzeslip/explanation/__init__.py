"""Explanations of where requests would be sent."""
