"""Handling of a single request, from admission to its response."""
