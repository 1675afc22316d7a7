"""The ``forwarder`` command.

The module does not import the libraries of the other roles, as forwarders are started
often and on small hosts.
"""

from typing import Annotated

import anyio
import typer

from catkinfork._signals import PROCESS_SIGNALS
from catkinfork.cli._exit_codes import EXIT_PORT_IN_USE
from catkinfork.cli._settings import read_or_exit
from catkinfork.settings import ForwarderSettings


def run_forwarder(
    settings: Annotated[
        str, typer.Option("--settings", help="Path of the INI settings file.")
    ],
):
    """Run a forwarder on an entry host.

    Exit codes: 0 after a drain, 2 for faults in the settings file, 3 if a port is in
    use.
    """
    from catkinfork.forwarder import ForwarderProcess

    process = ForwarderProcess(read_or_exit(settings, ForwarderSettings), settings)
    try:
        anyio.run(process.run, backend_options={"use_uvloop": True})
    except* OSError as group:
        typer.echo(f"{settings}: {group.exceptions[0]}", err=True)
        raise typer.Exit(EXIT_PORT_IN_USE) from None
    finally:
        PROCESS_SIGNALS.ignore()
    PROCESS_SIGNALS.end_process()
