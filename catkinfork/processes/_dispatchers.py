"""Choice of the dispatchers of each pool."""

from catkinfork.membership import choose_dispatchers, rank_candidates


class DispatcherReview:
    """Chooses the dispatchers of each pool and the peers to probe for liveness.

    :param process: :class:`BaseProcess`.

    ``chosen`` has the addresses of the dispatchers by pool, in order of preference.
    """

    def __init__(self, process):
        self.process = process
        self.chosen = {}
        self.ranked_routers = set()
        self.rankings = {}

    def run(self, now):
        """Choose anew, and tell the process of each pool with other dispatchers."""
        process = self.process
        routers = set(process.list_routers())
        live = {name for name in routers if self.can_dispatch(name, now)}
        dead = {name for name in routers - live if name in process.peers.peers}
        probe_targets = set()
        for pool in process.list_pools():
            ranked = self.rank_routers(pool, routers)
            chosen, probed = choose_dispatchers(ranked, live, dead)
            probe_targets.update(probed)
            if chosen != self.chosen.get(pool):
                self.chosen[pool] = chosen
                process.execute_actions(process.set_dispatchers(pool, chosen, now), now)
        if process.configuration.view is None:
            probe_targets.update(routers)
        probe_targets.discard(process.fleet.address)
        process.peers.set_probe_targets(probe_targets, now)

    def rank_routers(self, pool, routers):
        """Return the routers ranked for a pool; cached while the routers are equal."""
        if routers != self.ranked_routers:
            self.ranked_routers = routers
            self.rankings = {}
        if pool not in self.rankings:
            self.rankings[pool] = rank_candidates(pool, routers)
        return self.rankings[pool]

    def can_dispatch(self, address, now):
        """Return whether a router may act as dispatcher."""
        process = self.process
        if address == process.fleet.address:
            return not process.is_draining
        peer = process.peers.peers.get(address)
        if peer is not None and peer.is_leaving:
            return False
        return process.peers.is_live(address, now)
