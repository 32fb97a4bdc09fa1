"""Tests of bronzeslip.store."""
