"""Tests of bronzeslip.transport."""
