"""Generations, their tokens and their buffers."""
