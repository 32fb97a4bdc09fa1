"""Tests of bronzeslip.routing."""
