"""Hosts of a soak."""

import asyncio
import sys

from catkinfork.platform.tests.soak.hosts import Host
from catkinfork.platform.tests.soak.records import Records

# Ignores the other signals too, as a forwarder that stops does.
PROGRAM = (
    "import signal, sys\n"
    "for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):\n"
    "    signal.signal(number, signal.SIG_IGN)\n"
    "print('ready', flush=True)\n"
    "sys.stdin.read()"
)


async def start(words):
    """Start a process with pipes."""
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(*words, stdin=pipe, stdout=pipe)


def test_signal_is_early_only_before_the_interpreter_has_started():
    """Guards against an excuse for a program that could have handled a signal."""

    async def test():
        host = Host.__new__(Host)
        host.records, host.signals = Records(), []
        for words in ((sys.executable, "-c", PROGRAM), ("cat",)):
            host.process = await start(words)
            if words[0] != "cat":
                await host.process.stdout.readline()
            host.signal("SIGHUP")
            host.process.stdin.close()
            await host.process.wait()
        return [one.is_early for one in host.signals]

    assert asyncio.run(test()) == [False, True]
