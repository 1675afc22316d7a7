"""The program and its commands."""

import typer

from catkinfork.cli._check import check_document
from catkinfork.cli._diff import show_diff
from catkinfork.cli._digest import print_digest
from catkinfork.cli._events import print_events
from catkinfork.cli._run import run_agent, run_router
from catkinfork.cli._status import show_status

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    # Plain help wraps paragraphs to the width and stays readable in pipes.
    rich_markup_mode=None,
    help="A router fleet for workspaces that share request capacity fairly.",
)
app.command("router")(run_router)
app.command("agent")(run_agent)
app.command("status")(show_status)
app.command("check")(check_document)
app.command("diff")(show_diff)
app.command("digest")(print_digest)
app.command("events")(print_events)


def main():
    """Run the command line."""
    app()
