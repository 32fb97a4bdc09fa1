"""Tests of the developer tools."""
