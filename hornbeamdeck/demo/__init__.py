"""Demo on embedded stand-ins, and code that the benches share with it."""
