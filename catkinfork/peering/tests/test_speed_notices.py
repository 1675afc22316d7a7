"""Totals that peers tell of the times to the first event at the engines."""

from types import SimpleNamespace

from catkinfork.balancing.tests.support import add_backend, build_balancer
from catkinfork.peering._frames import SpeedEntry
from catkinfork.peering._speed_notices import SpeedNotices


def test_totals_of_servers_that_are_gone_are_forgotten():
    """Guards against memory that grows with each engine that was ever replaced.

    Load pattern: engines are replaced under new names for as long as the fleet runs.
    """
    balancer = build_balancer(n_backends=0, speed_window_s=4.0)
    pool = balancer.pools["s"]
    notices = SpeedNotices(balancer, hash, balancer.write_log)
    peer = SimpleNamespace(address="10.0.0.1", incarnation=1, speeds={})
    for number in range(50):
        names = [f"e{number}", f"e{number + 1}"]
        for name in names:
            add_backend(balancer, name)
            pool.find(name)
        pool.remove_other_backends(set(names))
        servers = {hash(name): (pool, pool.find(name)) for name in names}
        speeds = [SpeedEntry(one, 0, 2, 20_000, 4_000) for one in servers]
        notices.record(peer, SimpleNamespace(speeds=speeds), servers, 0.1 * number)
        assert peer.speeds.keys() >= servers.keys()
    assert len(peer.speeds) <= 3
