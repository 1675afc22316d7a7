"""Load balancing: admission, placement, retries, outlier ejection and fair sharing."""

from catkinfork.balancing._balancer import Balancer
from catkinfork.balancing._changes import pop_items
from catkinfork.balancing._crashes import is_open_probe
from catkinfork.balancing._events import EVENTS
from catkinfork.balancing._hashes import hash_name
from catkinfork.balancing._jobs import (
    ABANDONED,
    BROKEN,
    CONNECTION_REFUSED,
    EXPIRED,
    FAILED,
    MISDIRECTED,
    NO_BACKEND,
    NO_RETRY,
    OVERLOADED,
    REJECTED,
    SERVED,
    SILENT,
    STOPPING,
    STREAM_ELSEWHERE,
    STREAM_UNKNOWN,
    SUSPECT,
    UNREACHABLE,
    Job,
    Placement,
    PromptPart,
    Refusal,
)
from catkinfork.balancing._loads import LoadFigures
from catkinfork.balancing._moves import may_queue, place_elsewhere
from catkinfork.balancing._part_probes import PROBE_RESULT_S
from catkinfork.balancing._resumption import (
    MIN_STREAM_AGE_S,
    RECORDED,
    UNCONFIRMED,
    UNKNOWN,
    EngineCache,
)
from catkinfork.balancing._settings import BalancerSettings, RetryBudgetSettings
from catkinfork.balancing._speeds import NO_FIGURES, SpeedFigures
from catkinfork.balancing._stop import StopPlan
from catkinfork.balancing._streams import StreamOrigin, compute_stream_key
from catkinfork.balancing._suspect_parts import PartCrash
from catkinfork.balancing._suspects import CrashCount

__all__ = [
    "ABANDONED",
    "BROKEN",
    "CONNECTION_REFUSED",
    "EVENTS",
    "EngineCache",
    "EXPIRED",
    "FAILED",
    "NO_BACKEND",
    "NO_FIGURES",
    "NO_RETRY",
    "OVERLOADED",
    "RECORDED",
    "REJECTED",
    "SERVED",
    "SILENT",
    "STOPPING",
    "STREAM_ELSEWHERE",
    "STREAM_UNKNOWN",
    "SUSPECT",
    "UNCONFIRMED",
    "UNKNOWN",
    "UNREACHABLE",
    "Balancer",
    "BalancerSettings",
    "CrashCount",
    "Job",
    "LoadFigures",
    "MIN_STREAM_AGE_S",
    "MISDIRECTED",
    "PROBE_RESULT_S",
    "PartCrash",
    "Placement",
    "PromptPart",
    "Refusal",
    "RetryBudgetSettings",
    "SpeedFigures",
    "StopPlan",
    "StreamOrigin",
    "compute_stream_key",
    "hash_name",
    "is_open_probe",
    "may_queue",
    "place_elsewhere",
    "pop_items",
]
