"""Tests of the demo: that it can fail."""
