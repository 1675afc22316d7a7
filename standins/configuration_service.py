"""Stand-in for the platform's configuration service of ``docs/platform.md``."""

import argparse
from pathlib import Path
from typing import NamedTuple

import anyio

from standins._platform import (
    BasePlatformService,
    Response,
    build_json_response,
    run_until_signal,
    serve_app,
)

FILE_CHECK_INTERVAL_S = 0.2
MAX_VALUE_BYTES = 1024 * 1024
MAX_WAIT_S = 60.0
_VALUES_PREFIX = "/v1/values/"
_CONTROL_VALUES_PREFIX = "/control/values/"


class StoredValue(NamedTuple):
    """A value and the service-wide revision at which it was set."""

    content: bytes
    revision: int


class ConfigurationService(BasePlatformService):
    """Holds one value for each environment; clients may watch it by long polling.

    :param files: paths of files to publish, by environment.
    """

    def __init__(self, files=None):
        super().__init__()
        self.files = files or {}
        self.file_signatures = {}
        self.values = {}
        self.snapshot = {}
        self.revision = 0
        self.changed = anyio.Event()

    def publish(self, environment, content):
        """Set a value and wake the pending watch requests."""
        self.revision += 1
        self.values[environment] = StoredValue(content, self.revision)
        self.changed.set()
        self.changed = anyio.Event()

    def publish_changed_files(self):
        """Publish each changed file whose content is not published yet."""
        for environment, path in self.files.items():
            try:
                signature = (path.stat().st_mtime_ns, path.stat().st_size)
                if signature == self.file_signatures.get(environment):
                    continue
                content = path.read_bytes()
            except OSError:
                continue
            self.file_signatures[environment] = signature
            stored = self.values.get(environment)
            if stored is None or stored.content != content:
                self.publish(environment, content)

    async def watch_files(self):
        """Poll the files and publish changes, until cancelled."""
        while True:
            self.publish_changed_files()
            await anyio.sleep(FILE_CHECK_INTERVAL_S)

    def save_snapshot(self):
        self.snapshot = dict(self.values)

    def find_value(self, environment):
        """Return the value that clients see, or None."""
        values = self.snapshot if self.mode == "stale" else self.values
        return values.get(environment)

    async def answer(self, request):
        if request.method != "GET" or not request.path.startswith(_VALUES_PREFIX):
            return Response(404)
        environment = request.path.removeprefix(_VALUES_PREFIX)
        if "after" not in request.query:
            stored = self.find_value(environment)
            return (
                Response(404) if stored is None else build_value_response(200, stored)
            )
        try:
            after = int(request.query["after"])
            wait_s = min(MAX_WAIT_S, max(0.0, float(request.query.get("wait", "0"))))
        except ValueError:
            return Response(400)
        return await self.handle_watch(environment, after, wait_s)

    async def handle_watch(self, environment, after, wait_s):
        """Respond once the value is newer than a revision, or after the wait."""
        deadline = anyio.current_time() + wait_s
        while True:
            changed = self.changed
            stored = self.find_value(environment)
            if stored is not None and stored.revision > after:
                return build_value_response(200, stored)
            remaining = deadline - anyio.current_time()
            if remaining <= 0.0:
                return (
                    Response(404)
                    if stored is None
                    else build_value_response(304, stored)
                )
            with anyio.move_on_after(remaining):
                await changed.wait()

    def handle_service_command(self, request):
        if request.method == "POST" and request.path.startswith(_CONTROL_VALUES_PREFIX):
            environment = request.path.removeprefix(_CONTROL_VALUES_PREFIX)
            if len(request.body) > MAX_VALUE_BYTES:
                return build_json_response(
                    {"error": f"over {MAX_VALUE_BYTES} bytes"}, 413
                )
            if request.body:
                self.publish(environment, request.body)
            else:
                self.publish_changed_files()
            return build_json_response({"revision": self.revision})
        return Response(404)

    async def run(self, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until cancelled; ``task_status`` receives the bound address."""
        self.publish_changed_files()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch_files)
            await serve_app(self, bind, task_status=task_status)


def build_value_response(status, stored):
    """Return a response with a value's revision, and its content if status is 200."""
    headers = ((b"x-revision", str(stored.revision).encode()),)
    return Response(status, stored.content if status == 200 else b"", headers)


def main():
    """Serve the configuration values until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", default="127.0.0.1:9000", help="host:port")
    parser.add_argument("--environment", default="production")
    parser.add_argument(
        "--file", type=Path, help="document, published again when it changes"
    )
    options = parser.parse_args()
    files = {options.environment: options.file} if options.file else {}
    service = ConfigurationService(files)
    anyio.run(run_until_signal, service.run, options.bind)


if __name__ == "__main__":
    main()
