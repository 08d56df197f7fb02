"""Tests; they mirror the package."""
