"""Tests of the version package."""
