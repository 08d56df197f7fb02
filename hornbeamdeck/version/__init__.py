"""Configuration documents: schema, checks and the parsed versions."""
