"""Explanation of a request from the logs of several hosts."""

from catkinfork.explanation._clocks import ClockOffset, estimate_offsets
from catkinfork.explanation._records import Record, parse_line, read_logs
from catkinfork.explanation._report import explain_request, format_explanation

__all__ = [
    "ClockOffset",
    "Record",
    "estimate_offsets",
    "explain_request",
    "format_explanation",
    "parse_line",
    "read_logs",
]
