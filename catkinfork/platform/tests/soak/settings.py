"""Settings of a soak run, and the bounds that the platform states."""

from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[4]
KINDS = ("planned", "hard", "links", "crashing", "bursts", "notices", "watches")

SITE = "site.example"
KEY = "key-of-a"
READ_PATH = "/read/"
POST_PATH = "/post/"
DRAFT_PATH = "/draft/"
# Streams that cannot be resumed.
CHAT_PATH = "/chat/"
ZONE = "gasabo"

# Bounds of kmmsa-route, as the platform fills them into the settings file.
BOUNDS = {
    "grace_s": 8,
    "quota_window_s": 4,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
}
GRACE_S = 8.0
CONTACT_S = 3.0
CONFIG_S = 2.0
LOSS_SLACK_S = 0.2
DRAIN_S = 2.0
HEARTBEAT_S = 1.2
# Final responses are due this long after the deadline.
LATE_S = 0.5

PLAIN_DEADLINE_S = 3.0
STREAM_DEADLINE_S = 12.0
CHAT_DEADLINE_S = 10.0
# Time between the end of a process and its next start.
RESTART_DELAY_S = 0.3


class SoakSettings(NamedTuple):
    """Settings of a run.

    :param kind: one of :data:`KINDS`.
    :param n_seconds: seconds during which callers send requests.
    :param source: checkout whose forwarder is started.
    :param stream_share: share of the callers that send streams.
    :param restart_delay_s: time from the end of a process to its next start, longer on
        hosts that start slowly, seconds.
    """

    kind: str
    seed: int
    n_seconds: float
    n_hosts: int = 4
    n_clients: int = 60
    source: Path = ROOT
    stream_share: float = 0.3
    restart_delay_s: float = RESTART_DELAY_S
