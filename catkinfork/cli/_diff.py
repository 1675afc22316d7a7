"""The ``diff`` command."""

from typing import Annotated

import typer

from catkinfork.cli._exit_codes import EXIT_FAULTS, EXIT_USAGE
from catkinfork.cli._output import (
    STANDARD_INPUT,
    print_faults,
    print_line,
    read_content,
)
from catkinfork.document import diff_documents, parse_document

OldArgument = Annotated[
    str, typer.Argument(metavar="OLD", help="Document in force, or - for stdin.")
]
NewArgument = Annotated[
    str, typer.Argument(metavar="NEW", help="Document to promote, or - for stdin.")
]


def show_diff(old: OldArgument, new: NewArgument):
    """Describe what the promotion of a document changes.

    Exit codes: 0 if the documents could be compared, 1 if a document has faults or if
    both are for the same environment and a fleet with OLD in force would not adopt NEW,
    2 for wrong usage or a file that cannot be read.
    """
    if old == new == STANDARD_INPUT:
        print_line("only one document can come from standard input", "red", err=True)
        raise typer.Exit(EXIT_USAGE)
    results = {path: parse_document(read_content(path)) for path in (old, new)}
    for path, result in results.items():
        print_faults(path, result.err() or [])
    if any(result.is_err() for result in results.values()):
        raise typer.Exit(EXIT_FAULTS)
    old_view, new_view = results[old].ok(), results[new].ok()
    lines = diff_documents(old_view, new_view)
    for line in lines or ["no difference"]:
        print_line(line)
    if is_ignored(old_view, new_view):
        print_line(f"{new}: the fleet would not adopt it", "red", err=True)
        raise typer.Exit(EXIT_FAULTS)


def is_ignored(old, new):
    """Return whether a fleet with ``old`` in force ignores ``new`` as outdated."""
    is_same_environment = old.document.environment == new.document.environment
    return is_same_environment and new.identity < old.identity
