"""Forwarders without network I/O that exchange their state."""

from catkinfork.balancing.tests.support import build_balancer
from catkinfork.peering import PeerDirectory, PeerExchange, decode_frame


class Node:
    """A forwarder without network I/O.

    :param options: options of :func:`build_balancer`.
    """

    def __init__(self, address, seeds, incarnation=1, **options):
        self.address = address
        self.events = []
        self.directory = PeerDirectory(address, seeds, 0.0)
        self.balancer = build_balancer(n_backends=2, peers=self.directory, **options)
        for name in ("b0", "b1"):
            self.balancer.pools["s"].find(name)
        self.exchange = PeerExchange(
            self.balancer,
            self.directory,
            incarnation,
            self.events.append,
        )

    def load(self, name="b0"):
        """Return the load of a backend server in the state of this forwarder."""
        return self.balancer.pools["s"].find(name).load


def deliver(nodes, now, is_lost=lambda: False):
    """Tick all nodes and deliver their datagrams."""
    for node in nodes.values():
        for address, data in node.exchange.tick(now):
            if address in nodes and not is_lost():
                nodes[address].exchange.handle_frame(decode_frame(data), now)


def build_nodes(n_nodes=3, **options):
    """Return nodes that have the first one as their seed.

    :param options: options of :func:`build_balancer`.
    """
    names = [f"10.0.0.{number}" for number in range(1, n_nodes + 1)]
    return {name: Node(name, names[:1], **options) for name in names}


def run(nodes, start, end, step=0.01, **options):
    """Deliver frames from start to end and return the time reached."""
    now = start
    while now < end:
        deliver(nodes, now, **options)
        now += step
    return now
