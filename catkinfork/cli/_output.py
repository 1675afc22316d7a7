"""Input and output of the commands."""

import os
import sys
from pathlib import Path

import typer

from catkinfork.cli._exit_codes import EXIT_USAGE
from catkinfork.document import MAX_DOCUMENT_BYTES

STANDARD_INPUT = "-"


def print_line(text, colour=None, err=False):
    """Print a line, in colour on a terminal unless ``NO_COLOR`` is set.

    :param text: line without the line break.
    :param colour: name of the colour, or None.
    :param err: whether to print to standard error.
    """
    wants_colour = False if os.environ.get("NO_COLOR") else None
    typer.secho(text, fg=colour, err=err, color=wants_colour)


def read_content(path):
    """Read a file, or standard input for ``-``.

    Reads at most one byte more than the maximum size of a document, which is enough to
    detect that a document is too large.

    :raises typer.Exit: with code 2 if the file cannot be read.
    """
    try:
        return read_bytes(path, MAX_DOCUMENT_BYTES)
    except OSError as error:
        print_line(describe_read_error(path, error), "red", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def read_bytes(path, max_bytes):
    """Read a file, or standard input for ``-``, up to one byte beyond a limit.

    :param max_bytes: limit of its size.
    :raises OSError: if the file cannot be read.
    """
    if path == STANDARD_INPUT:
        return sys.stdin.buffer.read(max_bytes + 1)
    with Path(path).open("rb") as file:
        return file.read(max_bytes + 1)


def describe_read_error(path, error):
    """Describe why a file cannot be read, on one line."""
    return f"{path}: cannot be read: {error.strerror or type(error).__name__}"


def print_faults(path, faults):
    """Print one line for each fault of a document."""
    for fault in faults:
        print_line(f"{path}: {fault.describe()}", "red")
