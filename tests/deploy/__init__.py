"""Tests of the files that say how the system is run."""
