"""Scheduling decisions: queueing, admission and engine selection.

Callers pass in the time and state. Modules here don't read clocks, sockets or
settings, and don't write logs or metrics.
"""
