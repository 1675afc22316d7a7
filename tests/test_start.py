"""Start-up failures as an operator sees them: exit codes and messages."""

import socket
import subprocess

import pytest

from standins.local_fleet import LocalFleet

pytestmark = pytest.mark.processes

TIMEOUT_S = 30.0


@pytest.fixture
def configured_fleet(tmp_path):
    """Return a fleet with written settings and no running process."""
    fleet = LocalFleet(tmp_path)
    fleet.assign_ports()
    (tmp_path / "fleet.keys").write_text("00000001:" + "11" * 32)
    fleet.add_router("router-1", "gasabo")
    fleet.add_agent(fleet.layout.servers[0])
    return fleet


def run_command(fleet, name):
    """Run a command that is expected to exit."""
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
        ("router-1", "router-1/internal"),
        ("router-1", "router-1/callers"),
        ("router-1", "router-1/admin"),
        ("agent-runner-1", "agent-runner-1/internal"),
    ],
)
def test_port_in_use_is_named(configured_fleet, name, port):
    """Guards against two processes on one port, and a failure without the port."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", configured_fleet.ports[port]))
        listener.listen()
        result = run_command(configured_fleet, name)
    assert result.returncode == 3
    assert str(configured_fleet.ports[port]) in result.stderr
    assert "Traceback" not in result.stderr


def test_three_faults_are_listed_together(configured_fleet):
    """Guards against faults in settings that are reported one per start."""
    path = configured_fleet.directory / "router-1.ini"
    text = path.read_text().replace("environment = production", "environment = a b")
    text = text.replace("format = json", "format = xml\ncolour = red")
    path.write_text(text)
    result = run_command(configured_fleet, "router-1")
    assert result.returncode == 2
    assert len(result.stderr.splitlines()) == 3
    for part in ("[platform] environment", "[log] format", "[log] colour"):
        assert part in result.stderr


def test_unreadable_key_file_is_refused(configured_fleet):
    """Guards against a process that starts without the key file of the fleet."""
    (configured_fleet.directory / "fleet.keys").unlink()
    result = run_command(configured_fleet, "agent-runner-1")
    assert result.returncode == 2
    assert "fleet.keys" in result.stderr
    assert "Traceback" not in result.stderr
