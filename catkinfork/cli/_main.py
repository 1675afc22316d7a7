"""The command-line application and its commands."""

import sys
from importlib import import_module

import typer

from catkinfork._signals import PROCESS_SIGNALS

# Module and function of each command, in the order of the help text.
COMMANDS = {
    "router": ("_run", "run_router"),
    "agent": ("_run", "run_agent"),
    "forwarder": ("_forwarder", "run_forwarder"),
    "status": ("_status", "show_status"),
    "check": ("_check", "check_document"),
    "check-configuration": ("_check_configuration", "check_file"),
    "diff": ("_diff", "show_diff"),
    "digest": ("_digest", "print_digest"),
    "events": ("_events", "print_events"),
    "explain": ("_explain", "explain"),
}


def build_app(names=tuple(COMMANDS)):
    """Return the application with some of its commands.

    :param names: names of the commands to add; only their modules are imported.
    """
    app = typer.Typer(
        no_args_is_help=True,
        add_completion=False,
        pretty_exceptions_enable=False,
        # Plain help text is wrapped to the width and stays readable in pipes.
        rich_markup_mode=None,
        help="A router fleet for workspaces that share request capacity fairly.",
    )
    # Without a callback, Typer omits the command name if there is only one command.
    app.callback()(keep_command_names)
    for name in names:
        module, function = COMMANDS[name]
        command = getattr(import_module(f"catkinfork.cli.{module}"), function)
        app.command(name)(command)
    return app


def keep_command_names():
    """A router fleet for workspaces that share request capacity fairly."""


def main():
    """Run the command given on the command line.

    Only the module of this command is imported, as each role depends on libraries that
    the others do not need.
    """
    name = sys.argv[1] if len(sys.argv) > 1 else ""
    if name == "forwarder":
        PROCESS_SIGNALS.install()
    build_app([name] if name in COMMANDS else COMMANDS)()
