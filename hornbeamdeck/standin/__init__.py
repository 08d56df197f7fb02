"""Simulated platform, model engines and booking services."""
