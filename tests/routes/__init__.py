"""Tests of bronzeslip.routes."""
