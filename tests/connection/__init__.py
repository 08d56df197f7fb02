"""Tests of the connection package."""
