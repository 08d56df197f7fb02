"""Tests of what log lines are taken to tell."""
