"""Tests of the scheduling package."""
