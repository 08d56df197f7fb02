"""What this process has read from the store, and how current that is."""
