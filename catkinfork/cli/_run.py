"""The ``router`` and ``agent`` commands."""

from typing import Annotated

import anyio
import pynng
import typer

from catkinfork.cli._exit_codes import EXIT_PORT_IN_USE, EXIT_USAGE
from catkinfork.cli._settings import read_or_exit
from catkinfork.processes import AgentProcess, PortInUseError, RouterProcess
from catkinfork.protocol import KeyFileError
from catkinfork.settings import AgentSettings, RouterSettings

SettingsOption = Annotated[
    str, typer.Option("--settings", help="Path of the INI settings file.")
]


def run_router(settings: SettingsOption):
    """Run a router on an entry host.

    Exit codes: 0 after a drain, 2 for faults in the settings file or the key file, 3 if
    a port is in use.
    """
    run_process(settings, RouterSettings, RouterProcess)


def run_agent(settings: SettingsOption):
    """Run the agent of a backend server.

    Exit codes: 0 after a drain, 2 for faults in the settings file or the key file, 3 if
    a port is in use.
    """
    run_process(settings, AgentSettings, AgentProcess)


def run_process(path, settings_type, process_type):
    """Read the settings and run a process until it is asked to stop."""
    settings = read_or_exit(path, settings_type)
    try:
        anyio.run(start_process, process_type, settings)
    except* KeyFileError as group:
        typer.echo(f"{path}: {group.exceptions[0]}", err=True)
        raise typer.Exit(EXIT_USAGE) from None
    except* PortInUseError as group:
        typer.echo(f"{path}: {group.exceptions[0]}", err=True)
        raise typer.Exit(EXIT_PORT_IN_USE) from None
    except* pynng.exceptions.AddressInUse:
        address = settings.fleet.address
        typer.echo(f"{path}: {address} is in use by another process", err=True)
        raise typer.Exit(EXIT_PORT_IN_USE) from None


async def start_process(process_type, settings):
    """Create a process within the event loop and run it."""
    await process_type(settings).run()
