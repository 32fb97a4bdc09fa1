"""Tests of bronzeslip.places."""
