"""Requests that tell which one of several prompt parts crashes the engines.

Load pattern: all requests with the crashing part share another, sound part, which no
request was served with since. Both explain every crash. A request that holds one of
them but not the other decides: it is served, or it crashes one more engine.
"""

from math import exp, inf

# Growth of the share of requests that may be a probe, per second. Forwarders learn of
# one with the next frame; by then the share has grown little, at any rate of requests.
SHARE_GROWTH_PER_S = 2.0
# Time without a crash after which any request may be a probe, seconds.
FULL_SHARE_S = 2.0
# The same once requests could not be placed: for a shorter time, so that the return of
# the backend servers does not let all of them through at once.
DEFERRED_S = 1.0
# Time for which a probe is awaited: its prompt is read and its answer goes on, seconds.
PROBE_RESULT_S = 1.0


class ProbeRecord:
    """Probes of a prompt part, here or at a peer.

    ``first_at`` and ``last_at`` are the monotonic times at which the first and the
    latest one were placed. ``deferred_at`` is the monotonic time at which a request
    could not be placed.
    """

    __slots__ = ("deferred_at", "first_at", "last_at")

    def __init__(self):
        self.first_at = inf
        self.last_at = -inf
        self.deferred_at = -inf

    def record(self, placed_at):
        """Record a probe.

        :param placed_at: monotonic time, seconds.
        """
        self.first_at = min(self.first_at, placed_at)
        self.last_at = max(self.last_at, placed_at)


def find_alternatives(suspects, part):
    """Return the parts that may have caused the crashes of a part in its place.

    One crash in three may have had another cause, but not one after the first probe of
    the part: that one was the probe, unless others explain it.

    :param suspects: :class:`SuspectPart` by part.
    """
    suspect = suspects[part]
    return frozenset(
        name
        for name, other in suspects.items()
        if name != part and may_replace(other, suspect)
    )


def may_replace(other, suspect):
    """Return whether a suspect may have caused the crashes of another one."""
    unexplained = [
        at for at in suspect.crashed_at.values() if not other.has_crash_near(at)
    ]
    is_tolerable = 3 * len(unexplained) <= suspect.n_crashes
    return is_tolerable and all(at < suspect.probes.first_at for at in unexplained)


def is_decisive(parts, held, alternatives):
    """Return whether the end of a request tells if its parts crash engines.

    One that holds all parts which may have caused the crashes says nothing.

    :param parts: parts of the request.
    :param held: those of them that are refused.
    :param alternatives: alternatives of each refused part.
    """
    return all(alternatives[part].difference(parts) for part in held)


def compute_probe_share(group, risk, now):
    """Return the share of the decisive requests that may be a probe now.

    It grows from little to all of them, and begins anew with each crash and probe, so
    that few forwarders try at once at any rate of requests and any number of
    forwarders, and a lost frame costs little. Requests that crash an engine more likely
    wait longer, as do all after a probe that did.

    :param group: suspects between which the probe decides.
    :param risk: number of them that the request holds, by that of the others.
    """
    crashed_at = max(
        (at for one in group for at in one.crashed_at.values()), default=-inf
    )
    probed_at = max(one.probes.last_at for one in group)
    if now - probed_at < PROBE_RESULT_S:
        return 0.0
    n_failed = max(len(one.list_crashes_since_probe()) for one in group)
    deferred_at = max(one.probes.deferred_at for one in group) - DEFERRED_S
    idle_s = now - max(crashed_at, probed_at, deferred_at)
    full_s = FULL_SHARE_S * max(1.0, risk) * (1 + n_failed)
    return exp(min(0.0, SHARE_GROWTH_PER_S * (idle_s - full_s)))
