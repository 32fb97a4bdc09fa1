"""Tests of bronzeslip.http."""
