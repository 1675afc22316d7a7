"""Differences between the clocks of hosts."""

from statistics import median
from typing import NamedTuple

# Fields that identify an event which all hosts log at about the same moment.
ANCHOR_FIELDS = {
    "configuration_adopted": ("version",),
    "backend_added": ("backend_server",),
    "backend_leaving": ("backend_server", "reason"),
    "evacuation_changed": ("data_centre", "is_evacuated"),
}


class ClockOffset(NamedTuple):
    """Difference of the clock of a host from that of a reference host.

    :param offset_s: seconds by which it is ahead.
    :param error_s: largest deviation of a common event from the offset, seconds;
        infinite without any.
    :param n_events: number of common events.
    """

    offset_s: float
    error_s: float
    n_events: int


def estimate_offsets(records, reference):
    """Estimate the clock offsets of all hosts from the events that they share.

    :param records: :class:`Record` entries.
    :param reference: name of the reference host.
    :returns: :class:`ClockOffset` by host.
    """
    anchors = {}
    for record in records:
        key = find_anchor(record)
        if key is not None:
            anchors.setdefault(record.host, {}).setdefault(key, record.at)
    own = anchors.get(reference, {})
    offsets = {}
    for host in {record.host for record in records}:
        times = anchors.get(host, {})
        differences = [times[key] - own[key] for key in times.keys() & own.keys()]
        offsets[host] = compute_offset(differences, host == reference)
    return offsets


def find_anchor(record):
    """Return the key under which all hosts log an event, or None."""
    names = ANCHOR_FIELDS.get(record.name)
    if names is None:
        return None
    return (record.name, *(record.fields.get(name) for name in names))


def compute_offset(differences, is_reference):
    """Return the :class:`ClockOffset` for the differences of common events."""
    if is_reference:
        return ClockOffset(0.0, 0.0, len(differences))
    if not differences:
        return ClockOffset(0.0, float("inf"), 0)
    offset_s = median(differences)
    error_s = max(abs(difference - offset_s) for difference in differences)
    return ClockOffset(offset_s, error_s, len(differences))
