"""Memory that is held for callers, engines and other instances."""
