"""The ``status`` command."""

from typing import Annotated

import httpx
import msgspec
import typer
from rich.console import Console
from rich.table import Table

from catkinfork.cli._exit_codes import EXIT_FAULTS, EXIT_OK, EXIT_UNREACHABLE

REQUEST_TIMEOUT_S = 5.0
TABLE_WIDTH = 110

UrlOption = Annotated[
    str, typer.Option("--url", help="Admin address of any process, http://IP:PORT.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]


def show_status(url: UrlOption, as_json: JsonOption = False):
    """Show the state in force at every process, queried through any one of them.

    Exit codes: 0 if all processes reported the same version and digest, 1 if not, 4 if
    the queried process cannot be reached.
    """
    try:
        response = httpx.get(f"{url}/status", timeout=REQUEST_TIMEOUT_S)
        response.raise_for_status()
    except httpx.HTTPError as error:
        typer.echo(f"{url} cannot be reached: {error}", err=True)
        raise typer.Exit(EXIT_UNREACHABLE) from None
    state = msgspec.json.decode(response.content)
    if as_json:
        typer.echo(msgspec.json.format(response.content, indent=2).decode())
    else:
        print_state(state)
    raise typer.Exit(EXIT_OK if is_consistent(state) else EXIT_FAULTS)


def is_consistent(state):
    """Return whether all processes reported the same document in force."""
    identities = {
        (process["version"], process["digest"]) for process in state["processes"]
    }
    is_complete = all(process["is_reachable"] for process in state["processes"])
    return is_complete and len(identities) == 1 and not state["has_conflict"]


def print_state(state):
    """Print the state of the fleet as tables."""
    console = Console(width=None if Console().is_terminal else TABLE_WIDTH)
    console.print(
        f"environment {state['environment']}, version {state['version']}, "
        f"digest {state['digest'][:12]}"
        + (
            ", CONFLICT: two documents with this version"
            if state["has_conflict"]
            else ""
        )
    )
    processes = Table("process", "role", "data centre", "state", "version", "digest")
    for entry in state["processes"]:
        processes.add_row(
            entry["address"],
            entry["role"],
            entry["data_centre"],
            describe_process(entry),
            str(entry["version"]),
            entry["digest"][:12],
        )
    console.print(processes)
    data_centres = Table("data centre", "state")
    for entry in state["data_centres"]:
        data_centres.add_row(entry["name"], entry["state"])
    console.print(data_centres)
    servers = Table(
        "backend server", "data centre", "document", "agent", "places", "running"
    )
    for entry in state["backend_servers"]:
        servers.add_row(
            entry["name"],
            entry["data_centre"],
            entry["document_state"],
            entry["agent_state"],
            str(entry["n_places"]),
            str(entry["n_running"]),
        )
    console.print(servers)


def describe_process(entry):
    """Return the state of a process in one or two words."""
    if not entry["is_reachable"]:
        return "unreachable"
    return "ready" if entry["is_ready"] else "not ready"
