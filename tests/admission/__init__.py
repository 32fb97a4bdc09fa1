"""Tests of bronzeslip.admission."""
