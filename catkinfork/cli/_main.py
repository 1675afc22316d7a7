"""The program and its commands."""

import sys
from importlib import import_module

import typer

# Module and function of each command, in the order of the help.
COMMANDS = {
    "router": ("_run", "run_router"),
    "agent": ("_run", "run_agent"),
    "forwarder": ("_forwarder", "run_forwarder"),
    "status": ("_status", "show_status"),
    "check": ("_check", "check_document"),
    "diff": ("_diff", "show_diff"),
    "digest": ("_digest", "print_digest"),
    "events": ("_events", "print_events"),
}


def build_app(names=tuple(COMMANDS)):
    """Return the program with some of its commands.

    :param names: commands whose modules are imported.
    """
    app = typer.Typer(
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        # Plain help wraps paragraphs to the width and stays readable in pipes.
        rich_markup_mode=None,
        help="A router fleet for workspaces that share request capacity fairly.",
    )
    # Keeps the command's name in use where there is only one command.
    app.callback()(keep_command_names)
    for name in names:
        module, function = COMMANDS[name]
        command = getattr(import_module(f"catkinfork.cli.{module}"), function)
        app.command(name)(command)
    return app


def keep_command_names():
    """A router fleet for workspaces that share request capacity fairly."""


def main():
    """Run the command line.

    Only the module of the command that is run is imported, as each role has libraries
    that the others do not use.
    """
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    build_app([name] if name in COMMANDS else COMMANDS)()
