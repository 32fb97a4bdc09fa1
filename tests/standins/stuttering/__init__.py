"""Tests of the stuttering endpoint stand-in."""
