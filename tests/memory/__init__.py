"""Tests of bronzeslip.memory."""
