"""Determines the outcome and cause of requests from log lines."""

from hornbeamdeck.explain.log_lines import LogLines, read_lines
from hornbeamdeck.explain.outcomes import Explained, explain_all
from hornbeamdeck.explain.report import Report, describe_lines, make_report

__all__ = (
    'Explained',
    'LogLines',
    'Report',
    'describe_lines',
    'explain_all',
    'make_report',
    'read_lines',
)
