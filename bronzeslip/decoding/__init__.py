"""Decoding of data from outside the process."""
