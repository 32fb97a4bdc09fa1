"""Tests of bronzeslip.quota."""
