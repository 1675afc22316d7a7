"""Stand-in of the platform's configuration service, as in ``docs/platform.md``."""

import argparse
from pathlib import Path
from typing import NamedTuple

import anyio

from standins._platform import (
    BasePlatformService,
    Reply,
    reply_json,
    run_until_signal,
    serve_platform,
)

FILE_CHECK_INTERVAL_S = 0.2
MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 60.0
_VALUES = "/v1/values/"
_CONTROL_VALUES = "/control/values/"


class StoredValue(NamedTuple):
    """A value and the count of changes at which it was set."""

    content: bytes
    revision: int


class ConfigurationService(BasePlatformService):
    """Holds one value for each environment; readers may watch it.

    :param files: path of the file of each environment that has one.
    """

    def __init__(self, files=None):
        super().__init__()
        self.files = files or {}
        self.file_states = {}
        self.values = {}
        self.frozen = {}
        self.revision = 0
        self.changed = anyio.Event()

    def publish(self, environment, content):
        """Set a value and wake the watches."""
        self.revision += 1
        self.values[environment] = StoredValue(content, self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    def read_files(self):
        """Publish each file that has changed since it was last read."""
        for environment, path in self.files.items():
            try:
                state = (path.stat().st_mtime_ns, path.stat().st_size)
                if state == self.file_states.get(environment):
                    continue
                content = path.read_bytes()
            except OSError:
                continue
            self.file_states[environment] = state
            stored = self.values.get(environment)
            if stored is None or stored.content != content:
                self.publish(environment, content)

    async def watch_files(self):
        """Read files that change, until cancelled."""
        while True:
            self.read_files()
            await anyio.sleep(FILE_CHECK_INTERVAL_S)

    def freeze(self):
        self.frozen = dict(self.values)

    def find_value(self, environment):
        """Return the value that readers see, or None."""
        values = self.frozen if self.mode == "stale" else self.values
        return values.get(environment)

    async def answer(self, request):
        if request.method != "GET" or not request.path.startswith(_VALUES):
            return Reply(404)
        environment = request.path.removeprefix(_VALUES)
        if "after" not in request.query:
            stored = self.find_value(environment)
            return Reply(404) if stored is None else reply_value(200, stored)
        try:
            after = int(request.query["after"])
            wait_s = min(MAX_WAIT_S, max(0.0, float(request.query.get("wait", "0"))))
        except ValueError:
            return Reply(400)
        return await self.answer_watch(environment, after, wait_s)

    async def answer_watch(self, environment, after, wait_s):
        """Answer once the value is newer than a revision, or after the wait."""
        deadline = anyio.current_time() + wait_s
        while True:
            changed = self.changed
            stored = self.find_value(environment)
            if stored is not None and stored.revision > after:
                return reply_value(200, stored)
            remaining = deadline - anyio.current_time()
            if remaining <= 0.0:
                return Reply(404) if stored is None else reply_value(304, stored)
            with anyio.move_on_after(remaining):
                await changed.wait()

    def control(self, request):
        if request.method == "POST" and request.path.startswith(_CONTROL_VALUES):
            environment = request.path.removeprefix(_CONTROL_VALUES)
            if len(request.body) > MAX_VALUE_BYTES:
                return reply_json({"error": f"over {MAX_VALUE_BYTES} bytes"}, 413)
            if request.body:
                self.publish(environment, request.body)
            else:
                self.read_files()
            return reply_json({"revision": self.revision})
        return Reply(404)

    async def run(self, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until cancelled; ``task_status`` is told the bound address."""
        self.read_files()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_files)
            await serve_platform(self, bind, task_status=task_status)


def reply_value(status, stored):
    """Return an answer with a value's revision, and with its bytes if status is 200."""
    headers = ((b"x-revision", str(stored.revision).encode()),)
    return Reply(status, stored.content if status == 200 else b"", headers)


def main():
    """Serve as the command line says, until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", default="127.0.0.1:9000", help="host:port")
    parser.add_argument("--environment", default="production")
    parser.add_argument(
        "--file", type=Path, help="document, read again when it changes"
    )
    options = parser.parse_args()
    files = {options.environment: options.file} if options.file else {}
    service = ConfigurationService(files)
    anyio.run(run_until_signal, service.run, options.bind)


if __name__ == "__main__":
    main()
