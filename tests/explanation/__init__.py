"""Tests of bronzeslip.explanation."""
