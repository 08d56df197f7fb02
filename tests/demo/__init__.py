"""Tests that the demo detects failures."""
