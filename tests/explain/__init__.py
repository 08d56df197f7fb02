"""Tests of the explanation of requests from log lines."""
