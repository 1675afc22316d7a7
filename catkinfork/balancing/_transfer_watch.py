"""Outcome of the prefix transfers of one forwarder."""

from math import inf

from catkinfork.balancing._events import (
    TRANSFER_SOURCE_EXCLUDED,
    TRANSFERS_STOPPED,
    TRANSFERS_SWITCHED,
)
from catkinfork.balancing._jobs import BROKEN, SILENT
from catkinfork.observability import log_event

LATE = "late"
# Time between two checks that counts as a pause of this process, seconds. Checks are
# some 0.025 s apart; first events wait in the sockets during a pause.
MAX_CHECK_GAP_S = 0.1
# Sum of the pauses from which on further ones do not defer the due time of a transfer,
# seconds. A host without processor time pauses between all checks, and would never find
# a dead source.
MAX_DEFERRAL_S = 4.0
# Time between two log lines on whether the engines of a service fetch, seconds. The
# number of engines may change with each read of the store.
SWITCH_LOG_INTERVAL_S = 10.0


class RunningTransfer:
    """Transfer of a placed request, until its first event or the end of the attempt.

    :param transfer: :class:`Transfer`.
    :param service: :class:`ServiceTransfers`.
    :param n_ahead_tokens: pending tokens at the receiving engine beside the request.
    :param allowed_s: time within which the first event is due, seconds.

    ``due_at`` is the monotonic time until which the first event is on time; it is
    infinite until the request is sent. ``deferral_left_s`` is what is left of the time
    for which pauses of this process defer it.
    """

    __slots__ = (
        "allowed_s",
        "deferral_left_s",
        "due_at",
        "is_late",
        "is_open",
        "n_ahead_tokens",
        "n_tokens",
        "placement",
        "service",
        "source",
        "started_ms",
        "state",
    )

    def __init__(self, transfer, placement, service, n_ahead_tokens, allowed_s):
        self.source = transfer.source
        self.state = transfer.state
        self.n_tokens = transfer.n_tokens
        self.started_ms = transfer.source.entry.started_ms
        self.placement = placement
        self.service = service
        self.n_ahead_tokens = n_ahead_tokens
        self.allowed_s = allowed_s
        self.due_at = inf
        self.deferral_left_s = MAX_DEFERRAL_S
        self.is_open = True
        self.is_late = False

    def defer(self, pause_s):
        """Allow for a pause of this process."""
        if self.deferral_left_s > 0:
            self.deferral_left_s -= pause_s
            self.due_at += pause_s


class TransferWatch:
    """Follows transfers to their first event, and excludes sources that fail.

    A response says nothing of its transfer, so that a late first event is the only
    sign of a failure.

    :param balancer: :class:`Balancer`.

    ``running`` has the :class:`RunningTransfer` entries that were sent.
    """

    def __init__(self, balancer):
        self.balancer = balancer
        self.running = {}
        self.checked_at = inf
        self.logged = {}

    def update_rate(self, pool, now):
        """Enable or disable the transfers of a service by the known engines.

        :param pool: :class:`ServicePool`.
        """
        transfers = pool.transfers
        if not transfers.is_configured:
            if self.logged:
                self.log_switch(pool.service.name, transfers, 0, now)
            return
        registry = self.balancer.registry
        n_engines = sum(
            len(registry.list_ready(name))
            for name, other in self.balancer.pools.items()
            if other.service.engine is not None
        )
        transfers.update_rate(self.balancer.tokens_per_s, n_engines)
        self.log_switch(pool.service.name, transfers, n_engines, now)

    def log_switch(self, name, transfers, n_engines, now):
        """Log whether the engines of a service fetch, after a change."""
        was_enabled, logged_at = self.logged.get(name, (False, -inf))
        if transfers.is_enabled == was_enabled:
            return
        if now < logged_at + SWITCH_LOG_INTERVAL_S:
            return
        self.logged[name] = (transfers.is_enabled, now)
        self.balancer.write_log(
            log_event(
                TRANSFERS_SWITCHED,
                service=name,
                is_enabled=transfers.is_enabled,
                speedup=round(transfers.speedup, 2),
                min_speedup=transfers.min_speedup,
                link_tokens_per_s=round(transfers.link_tokens_per_s),
                engine_tokens_per_s=round(transfers.engine_tokens_per_s),
                n_engines=n_engines,
            )
        )

    def open(self, pool, placement, transfer):
        """Count the transfer of a request that is being placed, and what it reads.

        :param pool: :class:`ServicePool`.
        :param placement: :class:`Placement`, not yet counted as load.
        :param transfer: :class:`Transfer`, or None.
        """
        if not pool.transfers.is_enabled:
            return
        state = pool.find(placement.backend.name)
        state.source.add_unread(placement.job.parts, state.load.prefixes)
        if transfer is None:
            return
        n_ahead_tokens = state.load.n_all_pending_tokens
        allowed_s = pool.transfers.compute_allowed_s(
            n_ahead_tokens + placement.job.n_prompt_tokens,
            placement.backend.cold_until - placement.placed_at,
        )
        placement.transfer = RunningTransfer(
            transfer, placement, pool.transfers, n_ahead_tokens, allowed_s
        )
        transfer.state.n_running += 1
        pool.transfers.n_running += 1

    def send(self, placement, now):
        """Begin the transfer of a request that is being sent.

        A source that no longer fits is not used.

        :returns: address of the source, or None.
        """
        running = placement.transfer
        if running is None or not running.is_open:
            return None
        if not self.is_sound(running, now):
            self.close(running)
            placement.transfer = None
            return None
        running.due_at = now + running.allowed_s
        running.service.n_transfers += 1
        self.running[running] = None
        return running.source.entry.address

    def is_sound(self, running, now):
        """Return whether a transfer still holds whose request is being sent.

        The source and the receiving engine may have been replaced while a connection
        was being opened.
        """
        registry = self.balancer.registry
        entry = running.source.entry
        if not registry.is_usable(running.source, now):
            return False
        if entry.address in registry.shared_addresses:
            return False
        target = running.placement.backend.entry
        is_same_start = entry.started_ms == running.started_ms
        return is_same_start and entry.version == target.version

    def record_first_event(self, placement, now):
        """Record the first event of a request."""
        self.remove_unread(placement)
        running = placement.transfer
        if running is None or not running.is_open:
            return
        self.close(running)
        if not running.is_late:
            running.state.backoff.record_on_time(placement.placed_at)
            running.service.record_outcome(False, placement.placed_at, now)
            running.service.n_tokens += running.n_tokens

    def record_end(self, placement, outcome, now):
        """Record the end of an attempt.

        :param outcome: outcome constant such as ``SERVED`` or ``FAILED``.
        """
        self.remove_unread(placement)
        running = placement.transfer
        if running is None or not running.is_open:
            return
        self.close(running)
        if running.is_late or running.due_at == inf:
            return
        if outcome == BROKEN or (outcome == SILENT and is_early(running, now)):
            self.fail(running, outcome, now)

    def remove_unread(self, placement):
        """Record that the parts of a prompt are read, as far as will be known.

        What a former start of the engine has read says nothing of the current one.
        """
        pool = self.balancer.pools[placement.job.service]
        state = pool.find(placement.backend.name)
        if state.source.unread and state.started_ms == placement.started_ms:
            state.source.remove_unread(placement.job.parts)

    def check(self, now):
        """Exclude the sources of late transfers.

        If this process has paused, first events wait in its sockets, and are no later
        for it. Their due times move by the pause.
        """
        gap_s = now - self.checked_at
        self.checked_at = now
        if gap_s > MAX_CHECK_GAP_S:
            for running in self.running:
                running.defer(gap_s)
        for running in [one for one in self.running if now >= one.due_at]:
            if running.is_late or self.extend(running, now):
                continue
            running.is_late = True
            running.state.n_late += 1
            running.service.n_late += 1
            self.fail(running, LATE, now)

    def extend(self, running, now):
        """Allow more time if more tokens are ahead of a request than were known.

        Load pattern: forwarders place requests at one idle engine at the same moment,
        and hear of each other's later. A source is not to blame for them.

        :returns: whether the first event is still on time.
        """
        placement = running.placement
        pool = self.balancer.pools[placement.job.service]
        load = pool.find(placement.backend.name).load
        n_tokens = load.n_all_pending_tokens - placement.n_missing_tokens
        n_more_tokens = n_tokens - running.n_ahead_tokens
        if n_more_tokens <= 0 or not running.service.engine_tokens_per_s:
            return False
        extension_s = n_more_tokens / running.service.engine_tokens_per_s
        running.n_ahead_tokens = n_tokens
        running.allowed_s += extension_s
        running.due_at += extension_s
        return now < running.due_at

    def close(self, running):
        """End the transfer, whatever became of it."""
        running.is_open = False
        self.running.pop(running, None)
        for counts in (running.state, running.service):
            counts.n_running -= 1
            counts.n_late -= running.is_late

    def fail(self, running, cause, now):
        """Exclude the source of a transfer, and stop all if most have failed."""
        placed_at = running.placement.placed_at
        running.service.n_late_transfers += 1
        backoff = running.state.backoff
        if backoff.is_news(placed_at):
            self.log_exclusion(running, cause, backoff.exclude(now), now)
        pause_s = running.service.record_outcome(True, placed_at, now)
        if pause_s is not None:
            self.balancer.write_log(
                log_event(
                    TRANSFERS_STOPPED,
                    service=running.placement.job.service,
                    failure_rate=round(running.service.failure_rate, 3),
                    n_exclusions=running.service.backoff.n_exclusions,
                    pause_s=pause_s,
                )
            )

    def log_exclusion(self, running, cause, pause_s, now):
        """Log the exclusion of a source, with what the time allowed was made of."""
        placement = running.placement
        self.balancer.write_log(
            log_event(
                TRANSFER_SOURCE_EXCLUDED,
                backend_server=running.source.name,
                service=placement.job.service,
                cause=cause,
                pause_s=pause_s,
                n_exclusions=running.state.backoff.n_exclusions,
                target=placement.backend.name,
                n_transfer_tokens=running.n_tokens,
                n_prompt_tokens=placement.job.n_prompt_tokens,
                n_ahead_tokens=running.n_ahead_tokens,
                allowed_s=round(running.allowed_s, 4),
                attempt_s=round(now - placement.placed_at, 4),
                request_id=placement.job.request_id,
            )
        )


def is_early(running, now):
    """Return whether silence says something of a transfer.

    An attempt that ends at the deadline of its request, before the first event was due,
    says nothing.

    :param running: :class:`RunningTransfer`.
    """
    return now >= running.due_at or now < running.placement.job.deadline_at
