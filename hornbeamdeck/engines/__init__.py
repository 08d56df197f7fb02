"""How this process reaches engines, and what they state of themselves."""
