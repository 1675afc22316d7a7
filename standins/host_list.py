"""Stand-in of the platform's host list, as in ``docs/platform.md``; it lags."""

import argparse
from collections import deque
from hashlib import sha256
from pathlib import Path

import anyio
import msgspec

from standins._platform import (
    BasePlatformService,
    Reply,
    reply_json,
    run_until_signal,
    serve_platform,
)


class HostList(BasePlatformService):
    """Shows hosts some time after they were set.

    :param hosts: entries of the list, shown from the start.
    :param lag_s: time after which a change shows, seconds.
    """

    def __init__(self, hosts=(), lag_s=0.0):
        super().__init__()
        self.hosts = list(hosts)
        self.lag_s = lag_s
        self.changes = deque()
        self.frozen = []

    def set_hosts(self, hosts, now):
        """Change the list; readers see it after the lag."""
        self.changes.append((now + self.lag_s, list(hosts)))

    def list_shown(self, now):
        """Return the entries that readers see."""
        while self.changes and self.changes[0][0] <= now:
            _, self.hosts = self.changes.popleft()
        return self.frozen if self.mode == "stale" else self.hosts

    def freeze(self):
        self.frozen = list(self.list_shown(anyio.current_time()))

    async def answer(self, request):
        if request.method != "GET":
            return Reply(404)
        reply = reply_json({"hosts": self.list_shown(anyio.current_time())})
        tag = f'"{sha256(reply.body).hexdigest()[:16]}"'
        headers = (*reply.headers, (b"etag", tag.encode()))
        if request.tag == tag:
            return Reply(304, headers=headers)
        return reply._replace(headers=headers)

    def control(self, request):
        if (request.method, request.path) != ("PUT", "/control/hosts"):
            return Reply(404)
        try:
            hosts = read_hosts(request.body)
        except msgspec.DecodeError as error:
            return reply_json({"error": str(error)}, 400)
        self.set_hosts(hosts, anyio.current_time())
        return reply_json({"hosts": len(hosts), "lag_s": self.lag_s})

    async def run(self, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Serve until cancelled; ``task_status`` is told the bound address."""
        await serve_platform(self, bind, task_status=task_status)


def read_hosts(content):
    """Return the entries of a list ``{"hosts": [...]}``.

    :raises msgspec.DecodeError: if the form is wrong.
    """
    return msgspec.json.decode(content, type=dict[str, list[dict]]).get("hosts", [])


def main():
    """Serve as the command line says, until SIGINT or SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--bind", default="127.0.0.1:9001", help="host:port")
    parser.add_argument("--file", type=Path, help='JSON file {"hosts": [...]}')
    parser.add_argument("--lag-s", type=float, default=0.0, help="lag of a change")
    options = parser.parse_args()
    hosts = read_hosts(options.file.read_bytes()) if options.file else []
    service = HostList(hosts, options.lag_s)
    anyio.run(run_until_signal, service.run, options.bind)


if __name__ == "__main__":
    main()
