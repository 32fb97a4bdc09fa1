"""Tests of the deployment files."""
