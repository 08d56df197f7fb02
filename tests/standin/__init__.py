"""Tests of the stand-ins: they have the faults of the real services."""
