"""Tests of bronzeslip.orders."""
