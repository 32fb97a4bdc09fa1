"""Tests of bronzeslip.spread."""
