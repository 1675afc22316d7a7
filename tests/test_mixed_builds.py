"""Compatibility with an older build in requests, loads and documents.

``CATKINFORK_OLD_BUILD=DIR pytest tests/test_mixed_builds.py`` runs the processes of the
older build from the checkout in ``DIR``, with the libraries of this one. Without the
variable, the processes of both builds run this checkout.
"""

import asyncio
import json
import os
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from catkinfork.platform.tests.standins import (
    ROOT,
    build_config,
    run_platform,
    wait_until,
)
from tests.support.fleet import FleetWithCallers, build_idempotency_key

pytestmark = pytest.mark.processes

OLD_BUILD = Path(os.environ.get("CATKINFORK_OLD_BUILD", ROOT))
# ``-P`` keeps the working directory, which contains this build, off the module path.
OLD_PYTHON = ("env", f"PYTHONPATH={OLD_BUILD}", sys.executable, "-P")
OLD_MEMBERS = [
    ("router-1", "agent-runner-1", "agent-ledger-1"),
    ("router-2", "agent-runner-2", "agent-runner-3", "agent-ledger-2"),
]
RUNNERS = {"runner-1", "runner-2", "runner-3"}
# Enough to occupy every place of the three runners, so that each gets requests.
N_COMPLETIONS = 12
N_KEYS = 12

# Encodes a frame with a value in every field and prints it; then decodes the frame of
# the other build, if given, and prints whether the values are equal. A field that the
# other build lacks has to have its default.
EXCHANGE_FRAME_SCRIPT = """
import sys
from catkinfork.peering import Frame, decode_frame, encode_frame
values = [
    "10.0.0.5", 1700000000000, 7, True, 3, 42, True, ["10.0.0.6"],
    [(1, 2, 3, 4)], [(5, 6, 7, 8)], [(9, 10, 11)], [(12, 13, 14)], [(15, 2)],
    [(16, 0.25)], [(17, 18, 19)], [(20, 21)], 22, [(23, 24)],
    [(25, 26, 2.5, 27)], [(28, "v1", [(29, 30)])], [31],
    [(32, 33, 34, 35, 36)], [(37, 38)], [(39, 40, 41)], [(42, 43)], [(44, 45)], 46,
    True, [(47, 48, 49, 50, 51)],
]
names = Frame.__struct_fields__
values = values[:len(names)]
print(encode_frame(Frame(*values)).hex())
received = decode_frame(bytes.fromhex(sys.argv[1])) if sys.argv[1:] else None
if received is not None:
    n_sent = int(sys.argv[2])
    empty = Frame(*values[:6])
    expected = [
        value if number < n_sent else getattr(empty, name)
        for number, (name, value) in enumerate(zip(names, values))
    ]
    fields = [getattr(received, name) for name in names]
    print([[tuple(e) if isinstance(e, tuple) else e for e in f]
           if isinstance(f, list) else f for f in fields] == expected)
"""


class MixedFleet(FleetWithCallers):
    """A local fleet of which some members run the older build.

    :param directory: empty directory for settings and logs.
    :param old_members: names of the routers and agents of the older build.
    """

    def __init__(self, directory, old_members):
        super().__init__(directory)
        self.old_members = old_members

    def launch(self, name):
        if name in self.old_members:
            command = self.commands[name][len(self.program) :]
            self.commands[name] = [*OLD_PYTHON, "-m", "catkinfork", *command]
        super().launch(name)


def list_started_servers(fleet, router):
    """Return the names of the backend servers where a router started requests."""
    events = fleet.read_events(router)
    return {
        event["backend_server"]
        for event in events
        if event["name"] == "request_started"
    }


@pytest.mark.parametrize("old_members", OLD_MEMBERS)
def test_old_and_new_processes_serve_one_pool(tmp_path, old_members):
    """Guards against messages that another build decodes differently.

    An old and a new router send streams and keyed requests to old and new agents. The
    grants of a pool come from the router that is its dispatcher, old or new.
    """
    with MixedFleet(tmp_path, old_members) as fleet:
        for router in fleet.routers:
            completions = [fleet.start_completion(router) for _ in range(N_COMPLETIONS)]
            for completion in completions:
                completion.check_complete()
            assert list_started_servers(fleet, router) >= RUNNERS
        keys = [build_idempotency_key() for _ in range(N_KEYS)]
        for router in fleet.routers:
            # The second router receives the same keys as the first.
            calls = [fleet.start_reservation(router, key) for key in keys]
            assert [call.result().outcome for call in calls] == ["done"] * N_KEYS
        assert fleet.count_key_executions() == dict.fromkeys(keys, 1)
        ledgers = set.union(
            *(list_started_servers(fleet, name) for name in fleet.routers)
        )
        assert ledgers >= {"ledger-1", "ledger-2"}
        states = [fleet.read_status(name) for name in fleet.list_members()]
        assert all(state["processes"] == states[0]["processes"] for state in states)
        assert all(entry["is_reachable"] for entry in states[0]["processes"])
        granting_routers = {
            name for name in fleet.routers if "grant_sent" in fleet.read_log(name)
        }
        print(f"grants from {sorted(granting_routers)}, older build: {old_members}")


async def start_old_forwarder(forwarder):
    """Start a forwarder of the older build with the same settings."""
    arguments = ["-m", "catkinfork", "forwarder", "--settings", str(forwarder.path)]
    with forwarder.output.open("ab") as output:
        forwarder.process = await asyncio.create_subprocess_exec(
            *OLD_PYTHON, *arguments, cwd=OLD_BUILD, stdout=output, stderr=output
        )
    await wait_until(lambda: "forwarder_started" in forwarder.read_log())


async def read_status(forwarder):
    """Return the status document of a forwarder."""
    status, body = await forwarder.get("/status")
    assert status == 200
    return json.loads(body)


def test_old_and_new_forwarders_exchange_loads(tmp_path):
    """Guards against frames and settings that another build decodes differently.

    Requests run at one forwarder while the other counts them, and both have the same
    configuration version; then the roles are swapped.
    """

    async def test(platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1", delay_s=1.0)
        first, second = await platform.add_forwarders(2)
        await first.end()
        first.output.write_text("")
        await start_old_forwarder(first)
        await platform.wait_ready()
        for sender, receiver in ((first, second), (second, first)):

            async def has_peer(receiver=receiver):
                (peer,) = (await read_status(receiver))["peers"]
                return peer["is_fresh"] and peer["version"] == 1

            await wait_until(has_peer)
            tasks = [asyncio.create_task(sender.call()) for _ in range(3)]

            async def counts_all(receiver=receiver):
                (backend,) = (await read_status(receiver))["backend_servers"]
                loads = (backend["n_in_flight"], backend["n_all_in_flight"])
                return loads == (0, 3)

            await wait_until(counts_all)
            assert await asyncio.gather(*tasks) == [(200, b"i-1")] * 3

    run_platform(test, tmp_path)


def exchange_frame(python, directory, *received):
    """Let a build encode a frame and decode another; return the words it prints."""
    result = subprocess.run(
        [*python, "-c", EXCHANGE_FRAME_SCRIPT, *received],
        cwd=directory,
        capture_output=True,
        text=True,
        check=True,
    )
    return result.stdout.split()


def test_frames_of_both_builds_are_equal():
    """Guards against a field of a frame that changed its position or type.

    All fields have values, and each build decodes the frame of the other. New fields
    may only follow the others; an older build ignores them.
    """
    new_python = ("env", f"PYTHONPATH={ROOT}", sys.executable, "-P")
    (old_frame,) = exchange_frame(OLD_PYTHON, OLD_BUILD)
    old_values = msgspec.msgpack.decode(bytes.fromhex(old_frame))
    n_old = str(len(old_values))
    new_frame, is_equal = exchange_frame(new_python, ROOT, old_frame, n_old)
    assert is_equal == "True"
    new_values = msgspec.msgpack.decode(bytes.fromhex(new_frame))
    assert new_values[: len(old_values)] == old_values
    assert OLD_BUILD != ROOT or new_frame == old_frame
    n_new = str(len(new_values))
    assert exchange_frame(OLD_PYTHON, OLD_BUILD, new_frame, n_new)[1] == "True"
