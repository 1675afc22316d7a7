"""State exchange between the balancers of the forwarders."""

from catkinfork.balancing import (
    LoadFigures,
    PromptPart,
    hash_name,
)
from catkinfork.observability import log_event
from catkinfork.peering._backend_notices import BackendNotices
from catkinfork.peering._crash_notices import CrashNotices
from catkinfork.peering._events import PEER_LOST, PEER_REGAINED
from catkinfork.peering._frames import (
    MAX_FRAME_BYTES,
    Frame,
    LoadEntry,
    PartEntry,
    PriorityEntry,
    RetryEntry,
    UsageEntry,
    encode_frame,
)
from catkinfork.peering._handover import HandoverPlan
from catkinfork.peering._pacing import (
    TimedPacing,
    UrgentPacing,
    compute_interval_s,
)
from catkinfork.peering._speed_notices import SpeedNotices
from catkinfork.peering._stream_notices import StreamNotices

# Interval at which all totals are sent again, since datagrams may be lost.
REFRESH_INTERVAL_S = 1.0
MAX_PARTS_PER_FRAME = 40
# Usage totals that each full frame repeats, in rotation.
MAX_REFRESHED_USAGES = 20
# Time after a peer becomes fresh during which a first total may include counts from
# before; such totals are only used as a baseline.
BASELINE_WINDOW_S = 2.0 * REFRESH_INTERVAL_S
MAX_PEERS_LISTED = 24
# Speeds that stay in a frame that is too large as long as there are parts to drop, so
# that they are told even if parts fill all frames.
MIN_SPEEDS_PER_FRAME = 4


class PeerExchange:
    """Builds frames from the changes of a balancer and applies frames of peers.

    :param balancer: :class:`Balancer`.
    :param directory: :class:`PeerDirectory`.
    :param incarnation: Unix time at which this process started, milliseconds.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, balancer, directory, incarnation, write_log):
        self.balancer = balancer
        self.directory = directory
        self.incarnation = incarnation
        self.write_log = write_log
        self.sequence = 0
        self.is_leaving = False
        self.leaving_since = 0
        self.has_joined = False
        self.version = 0
        self.era = 0
        self.revision = 0
        self.timed_pacing = TimedPacing()
        self.urgent_pacing = UrgentPacing()
        self.next_refresh_at = 0.0
        self.hashes = {}
        self.refresh_offset = 0
        self.peers_offset = 0
        self.indexed_generations = ()
        self.pools = {}
        self.states = {}
        self.servers = {}
        self.notices = BackendNotices(balancer, self.compute_hash)
        self.stream_notices = StreamNotices(balancer, self.compute_hash)
        self.speed_notices = SpeedNotices(balancer, self.compute_hash, write_log)
        self.crash_notices = CrashNotices(balancer, self.compute_hash)
        balancer.crash_guard.suspects.own_source = self.crash_notices.compute_source(
            directory.own_address, incarnation
        )

    def begin_leaving(self, leaving_since):
        """Tell the peers that this forwarder drains.

        :param leaving_since: Unix time at which it began to, milliseconds.
        :returns: :class:`HandoverPlan`.
        """
        self.is_leaving = True
        self.leaving_since = leaving_since
        return HandoverPlan(self.directory, leaving_since)

    def compute_hash(self, name):
        """Return the 32-bit hash of a name, from a cache."""
        known = self.hashes.get(name)
        if known is None:
            known = self.hashes[name] = hash_name(name)
        return known

    def tick(self, now):
        """Remove silent peers and return the datagrams to send now.

        :returns: pairs of IP address and datagram.
        """
        n_peers = len(self.directory.peers)
        is_spread = self.balancer.settings.spread_choice
        pacing = self.urgent_pacing if is_spread else self.timed_pacing
        timeout_s = pacing.compute_freshness_timeout_s(n_peers)
        self.directory.freshness_timeout_s = timeout_s
        self.remove_silent_peers(now)
        has_news = not self.balancer.changes.is_empty or self.balancer.streams.has_news
        pools = self.balancer.pools.values()
        urgency = max((one.untold.compute_urgency() for one in pools), default=0.0)
        if not pacing.is_due(n_peers, has_news, urgency, now):
            return []
        addresses = self.directory.list_addresses()
        pacing.record_frame(len(addresses), now)
        is_full = now >= self.next_refresh_at
        if is_full:
            self.next_refresh_at = now + REFRESH_INTERVAL_S
        data = self.build_datagram(is_full, now)
        return [(address, data) for address in addresses]

    def build_datagram(self, is_full, now):
        """Return a datagram with all totals or with the changed ones.

        Until it fits into the maximum size, most speeds are left to the next frame,
        then parts dropped, then streams and all speeds left to the next frame, then
        usage entries dropped. Usage orders the queues of all forwarders; a lost part
        costs a prefill, a late speed nothing.
        """
        self.sequence += 1
        frame = Frame(
            sender=self.directory.own_address,
            incarnation=self.incarnation,
            sequence=self.sequence,
            is_leaving=self.is_leaving,
            leaving_since=self.leaving_since,
            has_joined=self.has_joined,
            version=self.version,
            revision=self.revision,
            era=self.era,
        )
        self.fill_frame(frame, is_full, now)
        self.balancer.changes.clear()
        for pool in self.balancer.pools.values():
            pool.untold.mark_told()
        data = encode_frame(frame)
        while len(data) > MAX_FRAME_BYTES and self.shorten(frame):
            data = encode_frame(frame)
        return data

    def shorten(self, frame):
        """Take entries out of a frame that is too large.

        :returns: whether there were any to take out.
        """
        if self.speed_notices.defer(frame, MIN_SPEEDS_PER_FRAME):
            return True
        if frame.parts:
            frame.parts = frame.parts[len(frame.parts) // 2 + 1 :]
            return True
        if frame.streams or frame.stream_questions:
            self.stream_notices.defer(frame)
            return True
        if self.speed_notices.defer(frame, 0):
            return True
        n_uses = len(frame.uses)
        frame.uses = frame.uses[: n_uses // 2]
        return n_uses > 0

    def fill_frame(self, frame, is_full, now):
        """Add the totals to a frame."""
        changes = self.balancer.changes
        backends = changes.backends
        services = changes.services
        workspaces = changes.workspaces
        if is_full:
            frame.is_full = True
            workspaces = workspaces | self.list_refreshed_usages()
            frame.peers = self.list_next_peers()
            backends = self.list_loaded_backends()
            services = self.balancer.pools.keys()
        frame.loads = [self.build_load_entry(*pair) for pair in backends]
        frame.uses = [self.build_usage_entry(*pair) for pair in workspaces]
        frame.repeats = [self.build_retry_entry(service) for service in services]
        frame.turns = [
            PriorityEntry(self.compute_hash(name), pool.priority)
            for name, pool in self.balancer.pools.items()
            if pool.priority is not None and pool.queue.n_jobs
        ]
        self.crash_notices.fill(frame, is_full, now)
        self.notices.fill(frame, is_full, now)
        self.stream_notices.fill(frame, now)
        self.speed_notices.fill(frame, is_full)
        for _, backend, parts in changes.parts[-MAX_PARTS_PER_FRAME:]:
            name = self.compute_hash(backend)
            frame.parts += [PartEntry(name, part, n) for part, n in parts]

    def list_next_peers(self):
        """Return the next addresses to tell, in rotation.

        A forwarder that starts would otherwise learn of the same ones from all peers.
        """
        addresses = self.directory.list_addresses()
        start = self.peers_offset % max(1, len(addresses))
        self.peers_offset = start + MAX_PEERS_LISTED
        return (addresses[start:] + addresses[:start])[:MAX_PEERS_LISTED]

    def list_refreshed_usages(self):
        """Return the next pairs of service and workspace to repeat."""
        pairs = [
            (service, workspace)
            for service, pool in self.balancer.pools.items()
            for workspace in pool.shares.uses
        ]
        start = self.refresh_offset % max(1, len(pairs))
        self.refresh_offset = start + MAX_REFRESHED_USAGES
        return set(pairs[start : start + MAX_REFRESHED_USAGES])

    def list_loaded_backends(self):
        """Return pairs of service and backend server with current or changed load."""
        return [
            (service, name)
            for service, pool in self.balancer.pools.items()
            for name, state in pool.states.items()
            if state.load.n_in_flight
            or (service, name) in self.balancer.changes.backends
        ]

    def build_load_entry(self, service, backend):
        """Return the load entry of a backend server."""
        pool = self.balancer.pools[service]
        load = pool.find(backend).load.own_load
        if self.balancer.settings.spread_choice:
            interval_s = compute_interval_s(len(self.directory.peers))
            share = pool.untold.compute_told_share(interval_s)
            n_pending_tokens = int(share * load.n_pending_tokens)
            load = load._replace(n_pending_tokens=n_pending_tokens)
        return LoadEntry(self.compute_hash(backend), *load)

    def build_usage_entry(self, service, workspace):
        """Return the usage entry of a workspace."""
        use = self.balancer.pools[service].shares.find(workspace)
        return UsageEntry(
            self.compute_hash(service),
            self.compute_hash(workspace),
            use.n_requested_tokens,
            use.n_received_tokens,
        )

    def build_retry_entry(self, service):
        """Return the retry entry of a service."""
        budget = self.balancer.pools[service].retry_budget
        return RetryEntry(
            self.compute_hash(service), budget.n_requests, budget.n_retries
        )

    def handle_frame(self, frame, now):
        """Handle a frame of a peer.

        :returns: whether it changes loads, so that queued requests may be placed.
        """
        peer = self.directory.handle_header(frame, now)
        if peer is None:
            return False
        if not peer.is_fresh:
            peer.is_fresh = True
            peer.fresh_since = now
            self.log_peer(PEER_REGAINED, peer, now)
        self.directory.add(frame.peers, now)
        self.index()
        pools = self.pools
        self.record_retries(peer, frame, pools, now)
        self.record_usage(peer, frame, pools, now)
        self.record_loads(peer, frame)
        priorities = dict(frame.turns)
        for service, pool in pools.items():
            pool.set_peer_priority(peer.address, priorities.get(service))
        self.crash_notices.record(peer, frame, now)
        self.notices.record(peer, frame, now)
        self.stream_notices.record(frame, now)
        self.speed_notices.record(peer, frame, self.servers, now)
        return bool(frame.loads)

    def index(self):
        """Update the index of pools and backend servers by name hash."""
        pools = self.balancer.pools
        generations = tuple(pool.generation for pool in pools.values())
        if generations == self.indexed_generations:
            return
        self.indexed_generations = generations
        self.pools = {self.compute_hash(name): pool for name, pool in pools.items()}
        self.servers = {
            self.compute_hash(name): (pool, state)
            for pool in pools.values()
            for name, state in pool.states.items()
        }
        self.states = {name: state for name, (_, state) in self.servers.items()}

    def record_retries(self, peer, frame, pools, now):
        """Record the requests and retries of a peer since its previous frame."""
        for service, n_requests, n_retries in frame.repeats:
            before = peer.repeats.get(service) or find_baseline(peer, now)
            peer.repeats[service] = (n_requests, n_retries)
            if before is None or service not in pools:
                continue
            n_new = n_requests - before[0]
            n_new_retries = n_retries - before[1]
            if n_new < 0 or n_new_retries < 0:
                continue
            pool = pools[service]
            pool.retry_budget.record_peer_requests(n_new, n_new_retries, now)
            pool.demand.record_peer_requests(n_new, now)

    def record_usage(self, peer, frame, pools, now):
        """Record the usage of workspaces at a peer since its previous frame."""
        for service, workspace, n_requested_tokens, n_received_tokens in frame.uses:
            key = (service, workspace)
            before = peer.uses.get(key) or find_baseline(peer, now)
            peer.uses[key] = (n_requested_tokens, n_received_tokens)
            if before is None or service not in pools:
                continue
            n_requested = n_requested_tokens - before[0]
            n_received = n_received_tokens - before[1]
            name = self.find_workspace(workspace)
            if name is not None and min(n_requested, n_received) >= 0:
                pools[service].shares.record_peer_usage(
                    name, n_requested, n_received, now
                )

    def find_workspace(self, hashed):
        """Return the name of the workspace with a hash, or None if it is unknown."""
        for name in self.balancer.workspaces:
            if self.compute_hash(name) == hashed:
                return name
        return None

    def record_loads(self, peer, frame):
        """Replace the load from a peer and record the prompt parts it has placed."""
        states = self.states
        if frame.is_full:
            listed = {entry.backend for entry in frame.loads}
            for name in states.keys() - listed:
                states[name].load.set_peer_load(peer.address, LoadFigures())
        for backend, n_in_flight, n_pending, n_memory in frame.loads:
            if backend in states:
                figures = LoadFigures(n_in_flight, n_pending, n_memory)
                states[backend].load.set_peer_load(peer.address, figures)
        for backend, part, n_tokens in frame.parts:
            if backend in states:
                load = states[backend].load
                load.prefixes.record_use((PromptPart(part, n_tokens),))

    def remove_silent_peers(self, now):
        """Remove the load and priorities of peers that have become stale."""
        for peer in self.directory.remove_expired(now):
            self.log_peer(PEER_LOST, peer, now)
            for pool in self.balancer.pools.values():
                pool.set_peer_priority(peer.address, None)
                for state in pool.states.values():
                    state.load.set_peer_load(peer.address, LoadFigures())

    def log_peer(self, event, peer, now):
        """Log that a peer has become fresh or stale."""
        silent_s = now - peer.heard_at if peer.heard_at is not None else 0.0
        self.write_log(
            log_event(
                event,
                peer=peer.address,
                incarnation=peer.incarnation,
                silent_s=round(silent_s, 3),
                is_leaving=peer.is_leaving,
            )
        )


def find_baseline(peer, now):
    """Return the baseline from which the first total of a peer is counted.

    :returns: zeros if the peer must have started this total while it was fresh, or None
        if the total may include earlier counts.
    """
    return (0, 0) if now - peer.fresh_since > BASELINE_WINDOW_S else None
