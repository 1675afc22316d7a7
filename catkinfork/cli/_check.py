"""The ``check`` command."""

from typing import Annotated

import typer

from catkinfork.cli._exit_codes import EXIT_FAULTS
from catkinfork.cli._output import print_faults, print_line, read_content
from catkinfork.document import DocumentFault, parse_document

FileArgument = Annotated[
    str, typer.Argument(metavar="FILE", help="Document, or - for standard input.")
]
EnvironmentOption = Annotated[
    str, typer.Option(help="Expected environment of the document.")
]


def check_document(file: FileArgument, environment: EnvironmentOption = ""):
    """Check an environment document as the fleet does and list all faults.

    Exit codes: 0 if the fleet would accept the document, 1 if it has faults, 2 for
    wrong usage or a file that cannot be read.
    """
    parsed = parse_document(read_content(file))
    faults = parsed.err() or []
    if parsed.is_ok():
        faults = check_environment(parsed.ok(), environment)
    if faults:
        print_faults(file, faults)
        noun = "fault" if len(faults) == 1 else "faults"
        print_line(f"{file}: {len(faults)} {noun}", "red", err=True)
        raise typer.Exit(EXIT_FAULTS)
    print_line(f"{file}: {describe_document(parsed.ok())}", "green")


def check_environment(view, environment):
    """Return a fault if a document is for another environment.

    :param view: view of the parsed document.
    :param environment: name of the expected environment, or empty for any.
    """
    found = view.document.environment
    if environment in ("", found):
        return []
    detail = f'"{found}" is not allowed, expected "{environment}"'
    return [DocumentFault("environment", detail)]


def describe_document(view):
    """Return a one-line summary of a valid document."""
    document = view.document
    return (
        f"valid; environment {document.environment}, version {document.version}, "
        f"digest {view.digest[:12]}, {len(document.workspaces)} workspaces, "
        f"{len(document.data_centres)} data centres, {len(document.pools)} pools, "
        f"{len(document.backend_servers)} backend servers"
    )
