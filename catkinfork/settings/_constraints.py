"""Constraints on the values of the settings."""

import re
from typing import NamedTuple

_ADDRESS_PATTERN = re.compile(
    r"^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$"
)
_NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
_URL_PATTERN = re.compile(r"^https?://[^\s/]+(/\S*)?$")

MAX_PORT = 65535


class Number(NamedTuple):
    """A number in a closed interval."""

    minimum: float
    maximum: float

    def describe(self):
        """Return the description of the allowed range."""
        return f"{self.minimum:g} to {self.maximum:g}"

    def accepts(self, value):
        """Return whether a parsed value satisfies the constraint."""
        return self.minimum <= value <= self.maximum


class Text(NamedTuple):
    """A string that matches a regular expression."""

    pattern: re.Pattern
    description: str

    def describe(self):
        """Return the description of the allowed form."""
        return self.description

    def accepts(self, value):
        """Return whether a parsed value satisfies the constraint."""
        return self.pattern.match(value) is not None


class Address(NamedTuple):
    """An IP address and a port."""

    def describe(self):
        """Return the description of the allowed form."""
        return f"IP address and port 1 to {MAX_PORT}, as in 10.0.0.5:7100"

    def accepts(self, value):
        """Return whether a parsed value satisfies the constraint."""
        match = _ADDRESS_PATTERN.match(value)
        return match is not None and 1 <= int(match[2]) <= MAX_PORT


class Addresses(NamedTuple):
    """A list of addresses, possibly empty."""

    def describe(self):
        """Return the description of the allowed form."""
        return "addresses as in 10.0.0.5:7100, separated by commas"

    def accepts(self, value):
        """Return whether a parsed value satisfies the constraint."""
        return all(Address().accepts(address) for address in value)


class Choice(NamedTuple):
    """One value of an enumeration."""

    words: tuple[str, ...]

    def describe(self):
        """Return the allowed values, joined by "or"."""
        return " or ".join(self.words)

    def accepts(self, value):
        """Return whether a parsed value satisfies the constraint."""
        return value in self.words


NAME = Text(_NAME_PATTERN, "1 to 63 letters, digits, '.', '_' or '-'")
URL = Text(_URL_PATTERN, "a URL that starts with http:// or https://")
PATH = Text(re.compile(r"^\S.*$"), "a file path")
URL_PATH = Text(re.compile(r"^/\S*$"), "a path that starts with /")
SECONDS = Number(0.01, 86400)
BYTES = Number(1024, 1 << 30)

CONSTRAINTS = {
    ("fleet", "address"): Address(),
    ("fleet", "data_centre"): NAME,
    ("fleet", "key_file"): PATH,
    ("fleet", "seeds"): Addresses(),
    ("platform", "configuration_url"): URL,
    ("platform", "environment"): NAME,
    ("platform", "hosts_url"): URL,
    ("platform", "startup_wait_s"): Number(0.0, 60),
    ("platform", "poll_interval_s"): Number(0.1, 3600),
    ("platform", "hosts_interval_s"): Number(0.1, 60),
    ("admin", "bind"): Address(),
    ("log", "format"): Choice(("plain", "json")),
    ("log", "level"): Choice(("debug", "info", "warning", "error")),
    ("gateway", "bind"): Address(),
    ("gateway", "max_header_bytes"): Number(1024, 262144),
    ("gateway", "max_body_bytes"): Number(1024, 4194304),
    ("gateway", "max_response_bytes"): BYTES,
    ("gateway", "body_timeout_s"): SECONDS,
    ("gateway", "max_request_timeout_s"): SECONDS,
    ("gateway", "default_request_timeout_s"): SECONDS,
    ("gateway", "first_byte_timeout_s"): SECONDS,
    ("routing", "max_waiting_bytes"): BYTES,
    ("routing", "max_attempts"): Number(1, 10),
    ("routing", "retry_ratio"): Number(0.0, 1.0),
    ("routing", "drain_timeout_s"): Number(0.0, 3600),
    ("backend", "name"): NAME,
    ("backend", "url"): URL,
    ("backend", "idle_timeout_s"): SECONDS,
    ("backend", "health_path"): URL_PATH,
    ("execution", "ticket_lifetime_s"): Number(0.1, 60),
    ("execution", "quiet_time_s"): Number(0.0, 86400),
    ("execution", "key_margin_s"): Number(0.0, 60),
    ("execution", "max_key_records"): Number(100, 10000000),
    ("execution", "claim_timeout_s"): Number(0.01, 30),
    ("execution", "block_time_s"): SECONDS,
    ("execution", "max_crashes"): Number(1, 10),
    ("execution", "drain_timeout_s"): Number(0.0, 3600),
    ("forwarder", "name"): NAME,
    ("forwarder", "address"): Address(),
    ("forwarder", "ready_address"): Address(),
    ("forwarder", "control_address"): Address(),
    ("forwarder", "metrics_port"): Number(1, MAX_PORT),
    ("forwarder", "data_centre"): NAME,
    ("forwarder", "grace_s"): Number(0.0, 86400),
    ("peers", "port"): Number(1, MAX_PORT),
    ("peers", "seeds"): Addresses(),
    ("store", "address"): Address(),
    ("store", "fleet_reads_per_s"): Number(1.0, 100_000),
    ("balancing", "share_window_s"): SECONDS,
    ("balancing", "repeat_ratio"): Number(0.0, 1_000_000),
    ("balancing", "n_repeat_slack"): Number(0, 1_000_000),
    ("balancing", "repeat_window_s"): SECONDS,
    ("balancing", "long_pause_cost"): Number(0.0, 1_000_000),
    ("balancing", "min_transfer_speedup"): Number(0.0, 1_000_000),
    ("balancing", "speed_window_s"): Number(0.0, 60),
    ("balancing", "on_time_first"): Number(0, 1),
    ("balancing", "spread_choice"): Number(0, 1),
}
