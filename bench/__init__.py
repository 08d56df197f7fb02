"""Benchmarks; those with a `--json` flag can print one JSON object."""
