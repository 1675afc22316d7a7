"""Reading of settings by the commands that run a process."""

import typer

from catkinfork.cli._exit_codes import EXIT_USAGE
from catkinfork.settings import read_settings


def read_or_exit(path, settings_type):
    """Return the settings of a file, or print its faults and end the command.

    :raises typer.Exit: if the file has faults.
    """
    read = read_settings(path, settings_type)
    if read.is_err():
        for fault in read.err_value:
            typer.echo(f"{path}: {fault.describe()}", err=True)
        raise typer.Exit(EXIT_USAGE)
    return read.ok_value
