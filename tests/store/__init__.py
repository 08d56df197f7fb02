"""Tests of the process package."""
