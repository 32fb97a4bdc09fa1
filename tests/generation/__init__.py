"""Tests of generations and their buffers."""
