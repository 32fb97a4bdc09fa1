"""Tests of bronzeslip.membership."""
