"""Tests of the fault matrix."""
