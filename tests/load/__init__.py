"""Tests of the load view."""
