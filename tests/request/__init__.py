"""Tests of the request package."""
