"""Tests of bronzeslip.entry."""
