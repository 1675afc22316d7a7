"""Starts that must fail, as an operator meets them."""

import socket
import subprocess

import pytest

from standins.local_fleet import LocalFleet

pytestmark = pytest.mark.processes

TIMEOUT_S = 30.0


@pytest.fixture
def prepared(tmp_path):
    """Return a fleet whose settings are written and of which nothing runs."""
    fleet = LocalFleet(tmp_path)
    fleet.allot_ports()
    (tmp_path / "fleet.keys").write_text("00000001:" + "11" * 32)
    fleet.add_router("router-1", "gasabo")
    fleet.add_agent(fleet.layout.servers[0])
    return fleet


def run_command(fleet, name):
    """Run a command that is expected to end by itself."""
    return subprocess.run(
        fleet.commands[name],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@pytest.mark.parametrize(
    ("name", "port"),
    [
        ("router-1", "router-1/inner"),
        ("router-1", "router-1/callers"),
        ("router-1", "router-1/admin"),
        ("agent-runner-1", "agent-runner-1/inner"),
    ],
)
def test_port_in_use_is_named(prepared, name, port):
    """Guards against two processes on one port, and a start without a reason."""
    with socket.socket() as held:
        held.bind(("127.0.0.1", prepared.ports[port]))
        held.listen()
        result = run_command(prepared, name)
    assert result.returncode == 3
    assert str(prepared.ports[port]) in result.stderr
    assert "Traceback" not in result.stderr


def test_three_faults_are_listed_together(prepared):
    """Guards against an operator who meets the faults one start after the other."""
    path = prepared.directory / "router-1.ini"
    text = path.read_text().replace("environment = production", "environment = a b")
    text = text.replace("format = json", "format = xml\ncolour = red")
    path.write_text(text)
    result = run_command(prepared, "router-1")
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 3
    for part in ("[platform] environment", "[log] format", "[log] colour"):
        assert part in result.stderr


def test_unreadable_key_file_is_refused(prepared):
    """Guards against a process that starts without the fleet's key."""
    (prepared.directory / "fleet.keys").unlink()
    result = run_command(prepared, "agent-runner-1")
    assert result.returncode == 2
    assert "fleet.keys" in result.stderr
    assert "Traceback" not in result.stderr
