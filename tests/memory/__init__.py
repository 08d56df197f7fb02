"""Tests of the memory that is held for peers."""
