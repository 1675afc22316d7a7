"""Prefix transfers: from which engine a request fetches cached prompt tokens.

Load pattern: a long prompt part is shared by most requests, and its holders are busy.
Every further engine would process the part again, which delays all of its requests.
"""

from functools import lru_cache
from math import ceil, inf
from typing import NamedTuple

from catkinfork.balancing._models import MISSING_TOKEN_WEIGHT
from catkinfork.topology import Backend, is_ip_address, split_address

# Smallest number of tokens that are fetched; fewer are processed as quickly.
MIN_TRANSFER_TOKENS = 128
# Sources count as equal if their cached tokens differ by less than this.
SIMILAR_TOKENS = 128
# Cost of a token that is fetched, in place of that of an uncached one: the engine
# spends no prefill on it, but waits for the link.
TRANSFER_TOKEN_WEIGHT = 0.4
# Requests of this forwarder that fetch from one source at the same time. An engine runs
# one transfer at a time, so further ones would wait there.
MAX_TRANSFERS_PER_SOURCE = 4
# Initial and maximum time without transfers; it doubles with each consecutive failure.
MIN_EXCLUSION_S = 0.5
MAX_EXCLUSION_S = 8.0
MAX_DOUBLINGS = 8
# Weight of the latest transfer in the failure rate of a service, and the rate above
# which its transfers stop: seven failures in a row reach it.
FAILURE_RATE_WEIGHT = 0.1
MAX_FAILURE_RATE = 0.5
# Time that a first event may take besides the prefill, seconds: opening of the stream,
# decoding steps of the requests that run, and a forwarder that reads the event late.
FIRST_EVENT_SLACK_S = 0.25
MAX_KNOWN_ADDRESSES = 4096


class Transfer(NamedTuple):
    """Transfer that an offer includes.

    :param source: :class:`Backend` that has the tokens.
    :param state: its :class:`TransferSource`.
    :param n_tokens: cached tokens to fetch.
    """

    source: Backend
    state: "TransferSource"
    n_tokens: int


class PromptEstimate(NamedTuple):
    """What the prompt of a job takes at an engine.

    :param n_missing_tokens: uncached tokens that it has to process.
    :param n_pending_tokens: the same, and those that it fetches in proportion to their
        cost, as they delay the engine less.
    :param transfer_cost: cost of the tokens that it fetches, in prompt tokens.
    :param transfer: :class:`Transfer`, or None.
    """

    n_missing_tokens: int
    n_pending_tokens: int
    transfer_cost: float
    transfer: Transfer | None


class TransferBackoff:
    """Time without transfers after failures, with exponential backoff.

    ``is_on_trial`` holds from an exclusion to the next transfer that is on time.
    Transfers then run one at a time, so that a source that is still faulty delays a
    single request for each exclusion.
    """

    __slots__ = ("excluded_at", "excluded_until", "n_exclusions")

    def __init__(self):
        self.excluded_at = -inf
        self.excluded_until = -inf
        self.n_exclusions = 0

    @property
    def is_on_trial(self):
        """Return whether no transfer has been on time since the last exclusion."""
        return self.n_exclusions > 0

    def is_excluded(self, now):
        """Return whether there are no transfers now."""
        return now < self.excluded_until

    def is_news(self, placed_at):
        """Return whether a transfer began after the last exclusion.

        Several transfers fail together, and are one failure.

        :param placed_at: monotonic time at which its request was placed, seconds.
        """
        return placed_at > self.excluded_at

    def exclude(self, now):
        """Begin an exclusion and return its length, seconds."""
        pause_s = min(MAX_EXCLUSION_S, MIN_EXCLUSION_S * 2**self.n_exclusions)
        self.n_exclusions = min(self.n_exclusions + 1, MAX_DOUBLINGS)
        self.excluded_at = now
        self.excluded_until = now + pause_s
        return pause_s

    def record_on_time(self, placed_at):
        """Record a transfer whose first event was on time."""
        if self.is_news(placed_at):
            self.n_exclusions = 0


class TransferSource:
    """Transfers of this forwarder from one start of an engine.

    ``n_running`` counts the requests that may be fetching, and ``n_late`` those of them
    that are late. ``unread`` has the prompt parts that the engine is still to process
    or to fetch for a request of this forwarder.
    """

    __slots__ = ("backoff", "n_late", "n_running", "unread")

    def __init__(self):
        self.backoff = TransferBackoff()
        self.unread = set()
        self.n_running = 0
        self.n_late = 0

    def add_unread(self, parts, prefixes):
        """Record the parts of a prompt that the engine does not have yet.

        Load pattern: several requests with a new shared part arrive within a moment.
        All engines but the first would be expected to fetch what no engine has.

        :param prefixes: :class:`PrefixCache` before the request is counted.
        """
        self.unread.update(one.name for one in parts if one.name not in prefixes.parts)

    def remove_unread(self, parts):
        """Record that the engine has read a prompt, or that nobody waits for it."""
        self.unread.difference_update(one.name for one in parts)

    def count_tokens(self, parts, prefixes):
        """Return the tokens in the leading parts that it can send.

        :param prefixes: :class:`PrefixCache` of the engine.
        """
        n_tokens = 0
        for name, n_part_tokens in parts:
            if name not in prefixes.parts or name in self.unread:
                break
            n_tokens += n_part_tokens
        return n_tokens

    def is_available(self, now):
        """Return whether one more request may fetch from it now."""
        if self.n_running >= MAX_TRANSFERS_PER_SOURCE or self.backoff.is_excluded(now):
            return False
        return not self.backoff.is_on_trial or self.n_running == self.n_late


class ServiceTransfers:
    """Transfers between the engines of one service.

    :param service: :class:`Service`.
    :param settings: :class:`BalancerSettings`.

    ``engine_tokens_per_s`` are the service tokens per second of one engine, and
    ``speedup`` is the ratio of its link to that. ``n_transfers``, ``n_tokens`` and
    ``n_late_transfers`` count since the start of the process; tokens count once the
    first event was on time.
    """

    def __init__(self, service, settings):
        self.engine_tokens_per_s = 0.0
        self.speedup = 0.0
        self.is_enabled = False
        self.backoff = TransferBackoff()
        self.failure_rate = 0.0
        self.n_running = 0
        self.n_late = 0
        self.n_transfers = 0
        self.n_tokens = 0
        self.n_late_transfers = 0
        self.update(service, settings)

    def update(self, service, settings):
        """Put changed figures or settings in force."""
        self.min_speedup = settings.min_transfer_speedup
        self.link_tokens_per_s = 0.0
        if service.engine is not None:
            self.link_tokens_per_s = service.engine.link_tokens_per_s
        if not self.is_configured:
            self.is_enabled = False

    @property
    def is_configured(self):
        """Return whether the setting and the figures of the service allow transfers."""
        return self.min_speedup > 0 and self.link_tokens_per_s > 0

    def update_rate(self, tokens_per_s, n_engines):
        """Enable or disable transfers by the rate of the engines.

        :param tokens_per_s: service tokens per second of all engines of the fleet.
        :param n_engines: number of these engines.
        """
        self.engine_tokens_per_s = tokens_per_s / n_engines if n_engines else 0.0
        self.speedup = 0.0
        if self.engine_tokens_per_s > 0:
            self.speedup = self.link_tokens_per_s / self.engine_tokens_per_s
        self.is_enabled = self.is_configured and self.speedup >= self.min_speedup

    def allows(self, now):
        """Return whether one more request may have a transfer now."""
        if self.backoff.is_excluded(now):
            return False
        return not self.backoff.is_on_trial or self.n_running == self.n_late

    def build_plan(self, job, candidates):
        """Return the :class:`TransferPlan` of a job, or None if it has none.

        A retry and a stream that goes on after a break have none: the first attempt may
        have failed because of its transfer.

        :param candidates: :class:`CandidateList`.
        """
        if not self.is_enabled or not job.parts or not candidates.healthy:
            return None
        if job.n_prompt_tokens < MIN_TRANSFER_TOKENS:
            return None
        if job.tried_backends or job.version is not None:
            return None
        if not self.allows(candidates.now):
            return None
        return TransferPlan(job, candidates)

    def compute_allowed_s(self, n_tokens, cold_s):
        """Return the time within which a first event is due, seconds.

        It is that of a prefill without any transfer, at the rate at which the engines
        serve tokens under full load. This holds for any deployment, while a latency
        target says nothing of the engines. A cold engine has until it is warm, as its
        rate is not known.

        :param n_tokens: prompt tokens of the request and pending ones ahead of it.
        :param cold_s: time for which the engine is still cold, if above 0, seconds.
        """
        prefill_s = n_tokens / self.engine_tokens_per_s
        return FIRST_EVENT_SLACK_S + prefill_s + max(0.0, cold_s)

    def record_outcome(self, is_failure, placed_at, now):
        """Record whether a transfer failed.

        :param placed_at: monotonic time at which its request was placed, seconds.
        :returns: time for which the transfers of the service stop because of it,
            seconds, or None.
        """
        target = 1.0 if is_failure else 0.0
        self.failure_rate += FAILURE_RATE_WEIGHT * (target - self.failure_rate)
        if not is_failure:
            if self.backoff.is_on_trial and self.backoff.is_news(placed_at):
                self.failure_rate = 0.0
            self.backoff.record_on_time(placed_at)
            return None
        if not self.backoff.is_news(placed_at):
            return None
        if self.failure_rate <= MAX_FAILURE_RATE and not self.backoff.is_on_trial:
            return None
        return self.backoff.exclude(now)


class TransferPlan:
    """Cached tokens of a prompt at the engines, and the best sources of the rest.

    It looks at each engine once.

    :param job: :class:`Job`.
    :param candidates: :class:`CandidateList`; its healthy entries are ready, not
        leaving, not throttled and not evacuated.

    ``n_cached`` has the cached tokens by entry, ``holders`` the entries that may be
    sources and the tokens that each can send, by software version, and ``n_most`` the
    most of these tokens. What two versions cache does not fit together.
    """

    __slots__ = (
        "candidates",
        "chosen",
        "estimates",
        "holders",
        "job",
        "n_cached",
        "n_most",
    )

    def __init__(self, job, candidates):
        self.job = job
        self.candidates = candidates
        self.n_cached = {}
        self.n_most = {}
        self.holders = {}
        self.chosen = {}
        self.estimates = {}
        parts = job.parts
        first_part = parts[0].name
        for entry in candidates.healthy:
            prefixes = entry.state.load.prefixes
            n_cached = 0
            if first_part in prefixes.parts:
                n_cached = prefixes.count_cached_tokens(parts)
            self.n_cached[entry] = n_cached
            if n_cached >= MIN_TRANSFER_TOKENS:
                self.add_holder(entry, parts)

    def add_holder(self, entry, parts):
        """Add an entry that has cached tokens, if it may be a source."""
        state = entry.state
        if not state.source.is_available(self.candidates.now):
            return
        n_tokens = state.source.count_tokens(parts, state.load.prefixes)
        if n_tokens < MIN_TRANSFER_TOKENS:
            return
        backend = entry.backend.entry
        if backend.address in self.candidates.shared_addresses:
            return
        if not has_ip_address(backend.address):
            return
        version = backend.version
        self.holders.setdefault(version, []).append((n_tokens, entry))
        if n_tokens > self.n_most.get(version, 0):
            self.n_most[version] = n_tokens

    def estimate(self, entry):
        """Return the :class:`PromptEstimate` of the job at an entry.

        Entries of one data centre that lack the same tokens have the same one.

        :param entry: :class:`CandidateEntry`.
        """
        backend = entry.backend
        key = (backend.entry.version, backend.data_centre, self.n_cached[entry])
        estimate = self.estimates.get(key)
        if estimate is None:
            estimate = self.estimates[key] = self.build_estimate(*key)
        return estimate

    def build_estimate(self, version, data_centre, n_cached):
        """Return the estimate at an engine that has some tokens cached."""
        n_missing = max(0, self.job.n_prompt_tokens - n_cached)
        transfer = self.find_transfer(version, data_centre, n_cached)
        if transfer is None:
            return PromptEstimate(n_missing, n_missing, 0.0, None)
        n_missing -= transfer.n_tokens
        transfer_cost = TRANSFER_TOKEN_WEIGHT * transfer.n_tokens
        n_pending = n_missing + ceil(transfer_cost / MISSING_TOKEN_WEIGHT)
        return PromptEstimate(n_missing, n_pending, transfer_cost, transfer)

    def find_transfer(self, version, data_centre, n_cached):
        """Return the transfer to an engine that has some tokens cached, or None."""
        if self.n_most.get(version, 0) - n_cached < MIN_TRANSFER_TOKENS:
            return None
        n_held, source = self.choose_source(version, data_centre)
        n_tokens = min(n_held, self.job.n_prompt_tokens) - n_cached
        if n_tokens < MIN_TRANSFER_TOKENS:
            return None
        return Transfer(source.backend, source.state.source, n_tokens)

    def choose_source(self, version, data_centre):
        """Return the tokens and the entry to fetch from.

        Among those with about the most tokens, one in the same data centre, with few
        transfers and then any is chosen, so that a hot prefix does not load a single
        engine. The choice is made once for each data centre.
        """
        key = (version, data_centre)
        source = self.chosen.get(key)
        if source is None:
            n_least = self.n_most[version] - SIMILAR_TOKENS
            rng = self.candidates.rates.rng
            source = self.chosen[key] = min(
                (one for one in self.holders[version] if one[0] > n_least),
                key=lambda one: (
                    one[1].backend.data_centre != data_centre,
                    one[1].state.source.n_running,
                    rng.random(),
                ),
            )
        return source


@lru_cache(MAX_KNOWN_ADDRESSES)
def has_ip_address(address):
    """Return whether an address is an IP address and a port, as engines expect it."""
    return is_ip_address(split_address(address)[0].strip("[]"))
