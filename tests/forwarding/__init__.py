"""Tests of bronzeslip.forwarding."""
