"""The store of a soak: entries that lapse, silence, and copies that are restored."""

import asyncio
import base64
import json
import time

from catkinfork.platform.tests.soak.settings import (
    CHAT_DEADLINE_S,
    CHAT_PATH,
    DRAFT_PATH,
    HEARTBEAT_S,
    KEY,
    PLAIN_DEADLINE_S,
    POST_PATH,
    READ_PATH,
    STREAM_DEADLINE_S,
)
from catkinfork.platform.tests.standins import Store, build_config

N_MISSED_HEARTBEATS = 3
# A copy of the contents is taken this often, and this many are kept.
COPY_S = 0.5
N_COPIES = 10
OPERATOR_DELAY_S = 0.3


class SoakStore(Store):
    """The store, with what the operator and the platform write there."""

    def __init__(self):
        super().__init__()
        self.written_at = {}
        self.copies = []
        self.config = None
        self.config_version = 0

    @property
    def is_silent(self):
        """Whether it responds to nobody."""
        return bool(self.servers) and self.silent_ports >= set(self.servers)

    def write_entry(self, name, entry):
        """Write the entry of a backend server, or remove it, unless it is silent.

        The entry changes, and watches are told, when more than ``sequence`` changes.

        :returns: whether it was written.
        """
        if self.is_silent:
            return False
        key = f"servers/{name}"
        if entry is None or drop_sequence(entry) != self.read_entry(key):
            self.put(key, entry)
        self.written_at[name] = time.monotonic()
        return True

    def read_entry(self, key):
        """Return an entry without its sequence, or None if there is none."""
        item = self.items.get(key)
        if item is None:
            return None
        return drop_sequence(json.loads(base64.b64decode(item["value"])))

    async def maintain(self):
        """Remove entries that have lapsed, and take copies."""
        while True:
            await asyncio.sleep(COPY_S)
            self.copies = [*self.copies, self.save()][-N_COPIES:]
            if self.is_silent:
                now = time.monotonic()
                self.written_at = dict.fromkeys(self.written_at, now)
                continue
            lapsed_at = time.monotonic() - N_MISSED_HEARTBEATS * HEARTBEAT_S
            for key in [key for key in self.items if key.startswith("servers/")]:
                if self.written_at.get(key.removeprefix("servers/"), 0.0) < lapsed_at:
                    self.put(key, None)

    async def publish_config(self, rng):
        """Write the next configuration, and wait while the store is silent."""
        while self.is_silent:
            await asyncio.sleep(0.05)
        self.config_version += rng.randrange(1, 4)
        self.config = build_soak_config(self.config_version, rng)
        self.put("op/config", self.config)

    async def go_back(self, seconds):
        """Come back from a copy; the operator writes its configuration again."""
        n_back = min(len(self.copies), max(1, round(seconds / COPY_S)))
        if not n_back:
            return
        self.restore(self.copies[-n_back])
        self.copies = []
        await asyncio.sleep(OPERATOR_DELAY_S)
        self.put("op/config", self.config)


def drop_sequence(entry):
    """Return the fields of an entry of which any change is an event."""
    return {name: value for name, value in entry.items() if name != "sequence"}


def build_soak_config(version, rng):
    """Build a configuration; successive ones move routes and change time-outs."""
    paths = (READ_PATH, POST_PATH, DRAFT_PATH, CHAT_PATH)
    config = build_config(version, paths)
    read, post, draft, chat = config["routes"]
    services = ["ledger", "stock"]
    rng.shuffle(services)
    timeout_ms = round(1000 * PLAIN_DEADLINE_S) + rng.choice([0, 500, 1000])
    plain = {"timeout_ms": timeout_ms, "public": True, "aim_ms": 400}
    read |= plain | {"kind": "safe", "service": services[0], "max_attempts": 2}
    post |= plain | {"kind": "unsafe", "service": services[1], "max_attempts": 2}
    draft |= {
        "timeout_ms": round(1000 * STREAM_DEADLINE_S),
        "aim_ms": 800,
        "kind": "streaming",
        "service": "lm",
        "gap_target_ms": 250,
        "max_attempts": 2,
        "sticky": True,
        "resumable": True,
    }
    chat |= draft | {
        "name": chat["name"],
        "prefix": chat["prefix"],
        "timeout_ms": round(1000 * CHAT_DEADLINE_S),
        "max_attempts": 1,
        "resumable": False,
    }
    if rng.random() < 0.5:
        config["routes"].append(read | {"name": "other", "prefix": f"/r{version}/"})
    (ledger,) = config["services"]
    engine = {"slots": 64, "kv_capacity": 558_069, "models": [{"name": "m"}]}
    lm = ledger | {"name": "lm", "max_connections": 360, "engine": engine}
    config["services"] += [ledger | {"name": "stock"}, lm]
    config["limits"] |= {"max_body_bytes": 4_194_304, "tokens_per_s": 130_000}
    config["tenants"] = [{"name": "a", "api_keys": [KEY], "priority": 1}]
    return config
