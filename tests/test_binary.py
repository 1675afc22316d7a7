"""Requests through the single-file binary that ``make binary`` builds."""

import os
import subprocess
from pathlib import Path

import pytest

from standins.fleet_layout import FleetLayout, ServerLayout
from standins.local_fleet import LocalFleet

pytestmark = [pytest.mark.processes, pytest.mark.binary]

ROOT = Path(__file__).parent.parent
BUILD_TIMEOUT_S = 600
UNPACK_TIMEOUT_S = 120
LAYOUT = FleetLayout(
    data_centres=("gasabo",),
    servers=(
        ServerLayout("runner-1", "gasabo", "assistant", ("contract-draft",)),
        ServerLayout("ledger-1", "gasabo", "ledger", ("ledger",)),
    ),
    router_data_centres=("gasabo",),
    workspaces={"dealers": 1.0},
    pools={"assistant": "engine", "ledger": "service"},
)


def list_children(pid):
    """Return the process ids of the children of a process."""
    path = Path(f"/proc/{pid}/task/{pid}/children")
    return path.read_text().split()


def test_path_runs_from_the_single_file(tmp_path, monkeypatch):
    """Guards against a binary that lacks a module or starts child processes."""
    subprocess.run(
        ["make", "binary"],
        cwd=ROOT,
        check=True,
        timeout=BUILD_TIMEOUT_S,
        capture_output=True,
    )
    program = ROOT / "dist" / "catkinfork"
    monkeypatch.setitem(os.environ, "PEX_ROOT", str(tmp_path / "pex"))
    subprocess.run(
        [program, "--help"], check=True, timeout=UNPACK_TIMEOUT_S, capture_output=True
    )
    fleet = LocalFleet(tmp_path / "fleet", LAYOUT, program=(str(program),))
    try:
        fleet.start()
        body = {
            "model": "contract-draft",
            "max_tokens": 3,
            "messages": [{"role": "user", "content": "hello"}],
        }
        with fleet.connect("router-1", "dealers") as client:
            response = client.post("/v1/chat/completions", json=body)
            stock = client.get("/services/ledger/stock/peg")
        assert response.status_code == 200
        assert stock.status_code == 200
        for name in fleet.list_members():
            assert list_children(fleet.processes[name].pid) == []
    finally:
        fleet.stop()
