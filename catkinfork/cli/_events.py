"""The ``events`` command."""

import sys

from catkinfork.observability import format_catalogue
from catkinfork.processes import list_events


def print_events():
    """Print the catalogue of log events as Markdown. Exit code: 0."""
    sys.stdout.write(format_catalogue(list_events()))
