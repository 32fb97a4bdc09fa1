"""Tests of bronzeslipctl."""
