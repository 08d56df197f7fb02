"""Tests of the platform adapter with stand-ins for store and engines."""
