"""The ``explain`` command."""

from typing import Annotated

import typer

from catkinfork.cli._exit_codes import EXIT_FAULTS, EXIT_USAGE
from catkinfork.cli._output import print_line
from catkinfork.explanation import explain_request, format_explanation, read_logs

RequestIdArgument = Annotated[
    str, typer.Argument(metavar="REQUEST-ID", help="Id of the request.")
]
LogsArgument = Annotated[
    list[str],
    typer.Argument(metavar="LOG...", help="Log files of forwarders, of any hosts."),
]


def explain(request_id: RequestIdArgument, logs: LogsArgument):
    """Explain what happened to a request, from the logs of several hosts.

    Lines are put in order in spite of clocks that differ. Exit codes: 0 if the request
    was found, 1 if no line has its id, 2 if a file cannot be read.
    """
    try:
        files = read_logs(logs)
    except OSError as error:
        print_line(str(error), "red", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    explanation = explain_request(request_id, files.records, files.n_unreadable)
    if explanation is None:
        print_line(f"no line has the id {request_id}", "red", err=True)
        raise typer.Exit(EXIT_FAULTS)
    for line in format_explanation(request_id, explanation):
        print_line(line)
