"""Stand-in for the platform's host list of ``docs/platform.md``, with a lag."""

import argparse
from collections import deque
from hashlib import sha256
from pathlib import Path

import anyio
import msgspec

from standins._platform import (
    BasePlatformService,
    Response,
    build_json_response,
    run_until_signal,
    serve_app,
)


class HostList(BasePlatformService):
    """Serves a host list in which changes become visible after a lag.

    :param hosts: initial entries, visible at once.
    :param lag_s: time until a change becomes visible, seconds.
    """

    def __init__(self, hosts=(), lag_s=0.0):
        super().__init__()
        self.hosts = list(hosts)
        self.lag_s = lag_s
        self.pending_changes = deque()
        self.snapshot = []

    def set_hosts(self, hosts, now):
        """Replace the list; clients see the new one after the lag."""
        self.pending_changes.append((now + self.lag_s, list(hosts)))

    def list_visible_hosts(self, now):
        """Return the entries that clients see."""
        while self.pending_changes and self.pending_changes[0][0] <= now:
            _, self.hosts = self.pending_changes.popleft()
        return self.snapshot if self.mode == "stale" else self.hosts

    def save_snapshot(self):
        self.snapshot = list(self.list_visible_hosts(anyio.current_time()))

    async def answer(self, request):
        if request.method != "GET":
            return Response(404)
        response = build_json_response(
            {"hosts": self.list_visible_hosts(anyio.current_time())}
        )
        etag = f'"{sha256(response.body).hexdigest()[:16]}"'
        headers = (*response.headers, (b"etag", etag.encode()))
        if request.if_none_match == etag:
            return Response(304, headers=headers)
        return response._replace(headers=headers)

    def handle_service_command(self, request):
        if (request.method, request.path) != ("PUT", "/control/hosts"):
            return Response(404)
        try:
            hosts = decode_hosts(request.body)
        except msgspec.DecodeError as error:
            return build_json_response({"error": str(error)}, 400)
        self.set_hosts(hosts, anyio.current_time())
        return build_json_response({"hosts": len(hosts), "lag_s": self.lag_s})

    async def run(self, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until cancelled; ``task_status`` receives the bound address."""
        await serve_app(self, bind, task_status=task_status)


def decode_hosts(content):
    """Return the entries of a JSON host list ``{"hosts": [...]}``.

    :raises msgspec.DecodeError: if it is not valid JSON of this structure.
    """
    return msgspec.json.decode(content, type=dict[str, list[dict]]).get("hosts", [])


def main():
    """Serve the host list until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", default="127.0.0.1:9001", help="host:port")
    parser.add_argument("--file", type=Path, help='JSON file {"hosts": [...]}')
    parser.add_argument(
        "--lag-s", type=float, default=0.0, help="seconds until a change is visible"
    )
    options = parser.parse_args()
    hosts = decode_hosts(options.file.read_bytes()) if options.file else []
    service = HostList(hosts, options.lag_s)
    anyio.run(run_until_signal, service.run, options.bind)


if __name__ == "__main__":
    main()
