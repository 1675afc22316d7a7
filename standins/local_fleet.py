"""Runs a fleet of separate processes on loopback, for the demo and tests."""

import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import time
from hashlib import sha256
from pathlib import Path

import httpx

from standins.fleet_layout import SMALL_LAYOUT

START_TIMEOUT_S = 20.0
KEY_MARGIN_WAIT_S = 0.3
STOP_TIMEOUT_S = 15.0
ENVIRONMENT = "production"


class LocalFleetError(Exception):
    """A process of the local fleet ended or was not ready in time."""


def find_free_ports(n_ports):
    """Return distinct free loopback ports; all are bound until the last is chosen."""
    sockets = [socket.socket() for _ in range(n_ports)]
    try:
        for listener in sockets:
            listener.bind(("127.0.0.1", 0))
        return [listener.getsockname()[1] for listener in sockets]
    finally:
        for listener in sockets:
            listener.close()


class LocalFleet:
    """Processes of a fleet and its stand-ins on loopback.

    :param directory: empty directory for settings and logs.
    :param layout: :class:`FleetLayout`.
    :param overrides: settings that replace those of this class, by ``(section, key)``.
    :param program: command line of the program, without arguments.
    """

    def __init__(self, directory, layout=SMALL_LAYOUT, overrides=None, program=None):
        self.directory = Path(directory)
        self.layout = layout
        self.overrides = overrides or {}
        self.program = program or (sys.executable, "-m", "catkinfork")
        self.processes = {}
        self.commands = {}
        self.n_starts = {}
        self.ports = {}
        self.api_keys = {name: secrets.token_hex(16) for name in layout.workspaces}
        self.routers = [
            f"router-{n}" for n in range(1, len(layout.router_data_centres) + 1)
        ]
        self.leaving = set()

    # Layout and published documents.

    def assign_ports(self):
        """Assign a free port to each listener."""
        names = ["configuration", "hosts"]
        names += [server.name for server in self.layout.servers]
        for name in self.list_members():
            names += [f"{name}/internal", f"{name}/admin"]
        names += [f"{name}/callers" for name in self.routers]
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))

    def list_members(self):
        """Return the names of routers and agents."""
        return self.routers + [f"agent-{server.name}" for server in self.layout.servers]

    def find_address(self, name):
        """Return the address of a listener, ``127.0.0.1:port``."""
        return f"127.0.0.1:{self.ports[name]}"

    def find_url(self, name):
        """Return the base URL of a listener."""
        return f"http://{self.find_address(name)}"

    def build_document(self, version, out=(), states=None):
        """Return the environment document.

        :param version: version of the document.
        :param out: names of data centres that are out of service.
        :param states: states of backend servers that are not in service, by name.
        """
        states = states or {}
        return {
            "environment": ENVIRONMENT,
            "version": version,
            "region": "rw-central",
            "workspaces": [
                {
                    "name": name,
                    "share": share,
                    "key_digests": [sha256(self.api_keys[name].encode()).hexdigest()],
                }
                for name, share in self.layout.workspaces.items()
            ],
            "data_centres": [
                {"name": name, "state": "out" if name in out else "in_service"}
                for name in self.layout.data_centres
            ],
            "pools": [
                {"name": name, "kind": kind, "max_cost": self.layout.max_cost}
                for name, kind in self.layout.pools.items()
            ],
            "backend_servers": [
                {
                    "name": server.name,
                    "data_centre": server.data_centre,
                    "pool": server.pool,
                    "agent": self.find_address(f"agent-{server.name}/internal"),
                    "serves": list(server.serves),
                    "max_places": server.max_places,
                    "state": states.get(server.name, "in_service"),
                }
                for server in self.layout.servers
            ],
        }

    def build_host_list(self):
        """Return the host list in the format of the platform."""
        hosts = []
        for name, data_centre in zip(
            self.routers, self.layout.router_data_centres, strict=True
        ):
            hosts.append(self.build_host_entry(name, "router", data_centre))
        for server in self.layout.servers:
            name = f"agent-{server.name}"
            hosts.append(self.build_host_entry(name, "agent", server.data_centre))
        return {"hosts": hosts}

    def build_host_entry(self, name, role, data_centre):
        """Return one entry of the host list."""
        return {
            "address": self.find_address(f"{name}/internal"),
            "role": role,
            "data_centre": data_centre,
            "state": "leaving" if name in self.leaving else "live",
        }

    # Settings.

    def write_settings(self, name, sections):
        """Write a settings file with the overrides and return its path."""
        lines = []
        for section, options in sections.items():
            merged = dict(options)
            for (override_section, key), value in self.overrides.items():
                if override_section == section:
                    merged[key] = value
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in merged.items()]
        path = self.directory / f"{name}.ini"
        path.write_text("\n".join(lines) + "\n")
        return path

    def build_common_settings(self, name, data_centre):
        """Return the settings that routers and agents share."""
        return {
            "fleet": {
                "address": self.find_address(f"{name}/internal"),
                "data_centre": data_centre,
                "key_file": self.directory / "fleet.keys",
                "seeds": ",".join(
                    self.find_address(f"{router}/internal") for router in self.routers
                ),
            },
            "platform": {
                "configuration_url": self.find_url("configuration"),
                "environment": ENVIRONMENT,
                "hosts_url": self.find_url("hosts") + "/v1/hosts",
                "hosts_interval_s": 0.5,
            },
            "admin": {"bind": self.find_address(f"{name}/admin")},
            "log": {"format": "json"},
        }

    def add_router(self, name, data_centre):
        """Write the settings of a router and store its command."""
        sections = self.build_common_settings(name, data_centre)
        sections["gateway"] = {"bind": self.find_address(f"{name}/callers")}
        sections["routing"] = {}
        path = self.write_settings(name, sections)
        self.commands[name] = [*self.program, "router", "--settings", str(path)]

    def add_agent(self, server):
        """Write the settings of an agent and store its command."""
        name = f"agent-{server.name}"
        sections = self.build_common_settings(name, server.data_centre)
        sections["backend"] = {"name": server.name, "url": self.find_url(server.name)}
        # All processes share one clock, so a small margin is sufficient.
        sections["execution"] = {"quiet_time_s": 1.0, "key_margin_s": 0.2}
        path = self.write_settings(name, sections)
        self.commands[name] = [*self.program, "agent", "--settings", str(path)]

    def add_stand_in_commands(self):
        """Write the data of the stand-ins and store their commands."""
        document = self.directory / "document.json"
        document.write_text(json.dumps(self.build_document(1)))
        hosts = self.directory / "hosts.json"
        hosts.write_text(json.dumps(self.build_host_list()))
        python = [sys.executable, "-m"]
        self.commands["configuration"] = [
            *(*python, "standins.configuration_service"),
            *("--bind", self.find_address("configuration")),
            *("--environment", ENVIRONMENT, "--file", str(document)),
        ]
        self.commands["hosts"] = [
            *(*python, "standins.host_list", "--bind", self.find_address("hosts")),
        ]
        for server in self.layout.servers:
            self.commands[server.name] = [
                *python,
                *self.build_server_arguments(server),
                *server.options,
            ]

    def build_server_arguments(self, server):
        """Return the module and options of a backend server's stand-in."""
        common = ["--bind", self.find_address(server.name), "--name", server.name]
        if self.layout.pools[server.pool] == "engine":
            model = ["--model", server.serves[0], "--cold-s", "0"]
            return ["standins.engine", *common, *model]
        return ["standins.ledger", *common]

    # Processes.

    def start(self):
        """Start all processes and wait until the fleet accepts requests."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self.assign_ports()
        key = f"00000001:{secrets.token_hex(32)}\n"
        (self.directory / "fleet.keys").write_text(key)
        self.add_stand_in_commands()
        for name, data_centre in zip(
            self.routers, self.layout.router_data_centres, strict=True
        ):
            self.add_router(name, data_centre)
        for server in self.layout.servers:
            self.add_agent(server)
        stand_ins = [name for name in self.commands if name not in self.list_members()]
        for name in stand_ins:
            self.launch(name)
        for name in stand_ins:
            self.wait_for_port(name)
        self.publish_hosts()
        for name in self.list_members():
            self.launch(name)
        for name in self.list_members():
            self.wait_ready(name)
        time.sleep(KEY_MARGIN_WAIT_S)

    def launch(self, name):
        """Start one process; its output is appended to its log file."""
        self.n_starts[name] = self.n_starts.get(name, 0) + 1
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                self.commands[name],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=environment,
            )

    def wait_for_port(self, name):
        """Wait until a process accepts connections on its port."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            self.check_running(name)
            try:
                socket.create_connection(("127.0.0.1", self.ports[name]), 1.0).close()
            except OSError:
                time.sleep(0.02)
            else:
                return
        raise LocalFleetError(
            f"{name} does not accept connections after {START_TIMEOUT_S} s"
        )

    def wait_ready(self, name):
        """Wait until a router or agent is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            self.check_running(name)
            if self.is_ready(name):
                return
            time.sleep(0.05)
        raise LocalFleetError(f"{name} is not ready after {START_TIMEOUT_S} s")

    def is_ready(self, name):
        """Return whether a router or agent is ready."""
        try:
            url = self.find_url(f"{name}/admin") + "/health/ready"
            return httpx.get(url, timeout=1.0).status_code == 200
        except httpx.HTTPError:
            return False

    def check_running(self, name):
        """Check that a process is running.

        :raises LocalFleetError: if it has ended.
        """
        code = self.processes[name].poll()
        if code is not None:
            output = self.read_log(name)[-2000:]
            raise LocalFleetError(f"{name} exited with code {code}: {output}")

    def send_signal(self, name, number):
        """Send a signal to a process of this fleet."""
        self.processes[name].send_signal(number)

    def kill(self, name):
        """Kill a process with SIGKILL and wait for its end."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def suspend(self, name):
        """Suspend a process with SIGSTOP."""
        self.send_signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resume a suspended process with SIGCONT."""
        self.send_signal(name, signal.SIGCONT)

    def terminate(self, name):
        """Terminate a process with SIGTERM and return its exit code."""
        self.send_signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=STOP_TIMEOUT_S + 30)

    def restart(self, name):
        """Restart an ended process, with empty state, and wait until it is ready."""
        self.launch(name)
        if name in self.list_members():
            self.wait_ready(name)
        else:
            self.wait_for_port(name)

    def stop(self):
        """Terminate all processes; kill those that do not end in time."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    def read_log(self, name):
        """Return the output of a process."""
        path = self.directory / f"{name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def read_events(self, name):
        """Return the log events of a router or agent as dictionaries."""
        lines = self.read_log(name).splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    # Operator actions.

    def publish(self, document):
        """Publish an environment document at the configuration service."""
        url = f"{self.find_url('configuration')}/control/values/{ENVIRONMENT}"
        httpx.post(url, content=json.dumps(document)).raise_for_status()

    def publish_hosts(self):
        """Publish the current host list."""
        url = f"{self.find_url('hosts')}/control/hosts"
        httpx.put(url, json=self.build_host_list()).raise_for_status()

    def set_mode(self, name, mode):
        """Set a platform stand-in to ``ok``, ``stale``, ``down`` or ``silent``."""
        url = f"{self.find_url(name)}/control/mode"
        httpx.post(url, json={"mode": mode}).raise_for_status()

    def read_status(self, name):
        """Return the status of the fleet that a router or agent reports."""
        url = self.find_url(f"{name}/admin") + "/status"
        return httpx.get(url, timeout=5.0).json()

    def connect(self, router, workspace, timeout_s=30.0):
        """Return an HTTP client for a router, authorised for a workspace."""
        return httpx.Client(
            base_url=self.find_url(f"{router}/callers"),
            headers={"Authorization": f"Bearer {self.api_keys[workspace]}"},
            timeout=timeout_s,
        )
