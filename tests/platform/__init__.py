"""The platform adapter, against stand-ins of its store and engines."""
