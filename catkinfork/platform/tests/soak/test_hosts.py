"""Hosts of a soak."""

import asyncio
import sys

import pytest

from catkinfork.platform.tests.soak.hosts import Host
from catkinfork.platform.tests.soak.records import Records

IDLE = "import sys\nprint('ready', flush=True)\nsys.stdin.read()"
HANDLERS = "import signal\nsignal.signal(signal.SIGTERM, print)\n"
BUSY = "import time\nwhile time.process_time() < 0.2:\n    pass\n"


@pytest.mark.parametrize(
    ("program", "is_early"),
    [(IDLE, True), (HANDLERS + IDLE, False), (BUSY + IDLE, False)],
)
def test_signal_is_early_only_while_a_process_starts(program, is_early):
    """Guards against an excuse for a process that had time to set its handlers.

    Beside other processes, the same start may take a second.
    """

    async def test():
        host = Host.__new__(Host)
        host.records, host.signals = Records(), []
        pipe = asyncio.subprocess.PIPE
        host.process = await asyncio.create_subprocess_exec(
            sys.executable, "-S", "-c", program, stdin=pipe, stdout=pipe
        )
        await host.process.stdout.readline()
        host.signal("SIGHUP")
        host.process.stdin.close()
        await host.process.wait()
        return [one.is_early for one in host.signals]

    assert asyncio.run(test()) == [is_early]
