"""The cells that a process owns, and the grants that others get from them."""
