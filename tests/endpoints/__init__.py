"""Tests of bronzeslip.endpoints."""
