"""Tests of the stand-ins: that they fail as real ones do."""
