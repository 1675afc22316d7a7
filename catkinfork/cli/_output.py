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
        if path == STANDARD_INPUT:
            return sys.stdin.buffer.read(MAX_DOCUMENT_BYTES + 1)
        with Path(path).open("rb") as file:
            return file.read(MAX_DOCUMENT_BYTES + 1)
    except OSError as error:
        reason = error.strerror or type(error).__name__
        print_line(f"{path}: cannot be read: {reason}", "red", err=True)
        raise typer.Exit(EXIT_USAGE) from None


def print_faults(path, faults):
    """Print one line for each fault of a document."""
    for fault in faults:
        print_line(f"{path}: {fault.describe()}", "red")
