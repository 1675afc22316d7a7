"""The program and its commands."""

import typer

from catkinfork.cli._run import run_agent, run_router
from catkinfork.cli._status import show_status

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A router fleet for workspaces that share request capacity fairly.",
)
app.command("router")(run_router)
app.command("agent")(run_agent)
app.command("status")(show_status)


def main():
    """Run the command line."""
    app()
