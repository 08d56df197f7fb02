"""Explains from log lines what became of requests, and why."""

from hornbeamdeck.explain.lines import LogLines, read_lines
from hornbeamdeck.explain.outcomes import Explained, explain_all
from hornbeamdeck.explain.report import Report, describe_way, make_report

__all__ = (
    'Explained',
    'LogLines',
    'Report',
    'describe_way',
    'explain_all',
    'make_report',
    'read_lines',
)
