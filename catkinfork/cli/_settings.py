"""Loading of settings for the commands that run a process."""

import typer

from catkinfork.cli._exit_codes import EXIT_USAGE
from catkinfork.settings import read_settings


def read_or_exit(path, settings_type):
    """Return the settings of a file, or print its faults and exit.

    :raises typer.Exit: with code 2 if the file has faults.
    """
    result = read_settings(path, settings_type)
    if result.is_err():
        for fault in result.err_value:
            typer.echo(f"{path}: {fault.describe()}", err=True)
        raise typer.Exit(EXIT_USAGE)
    return result.ok_value
