"""Tests of bronzeslip.platform."""
