"""Peer liveness, replacement of silent connections and the cost of probing."""

import pytest

from catkinfork.membership import (
    PeerTable,
    ReplaceConnection,
    choose_dispatchers,
    rank_candidates,
)
from catkinfork.protocol import Heartbeat, Sender

A = Sender("10.0.0.1:7000", 1)
B = Sender("10.0.0.2:7000", 2)
TICK_S = 0.05


class Network:
    """Peer tables connected by links without latency, which can be cut.

    :param names: addresses of the peers.
    """

    def __init__(self, names):
        self.now = 100.0
        self.tables = {name: PeerTable("router", "gasabo") for name in names}
        self.cut = set()
        self.replaced = []
        self.n_messages = 0

    def run(self, seconds, paused=()):
        """Tick all tables but the paused ones."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            for name, table in self.tables.items():
                if name not in paused:
                    self.handle_actions(name, table.tick(self.now), paused)

    def handle_actions(self, name, actions, paused):
        """Replace connections and deliver the messages of a table."""
        for action in actions:
            if isinstance(action, ReplaceConnection):
                self.replaced.append((name, action.destination, self.now))
                self.cut.discard((name, action.destination))
            elif (name, action.destination) not in self.cut:
                self.deliver(name, action, paused)

    def deliver(self, name, action, paused):
        """Deliver a message and the answers to it."""
        self.n_messages += 1
        if action.destination in paused or action.destination not in self.tables:
            return
        table = self.tables[action.destination]
        answers = table.handle(Sender(name, 1), action.message, self.now)
        self.handle_actions(action.destination, answers, paused)


@pytest.fixture
def pair():
    network = Network([A.name, B.name])
    network.tables[A.name].set_probe_targets([B.name], network.now)
    return network


def test_peer_that_answers_is_live(pair):
    """Guards against a live peer that is considered dead."""
    pair.run(10.0)
    assert pair.tables[A.name].is_live(B.name, pair.now)
    assert pair.replaced == []


@pytest.mark.parametrize(
    "silent", [(A.name, B.name), (B.name, A.name)], ids=["outgoing", "incoming"]
)
def test_silent_link_is_replaced_within_two_seconds(pair, silent):
    """Guards against a connection that stays silent in one direction."""
    pair.run(5.0)
    cut_at = pair.now
    pair.cut.add(silent)
    pair.run(5.0)
    replaced = [entry for entry in pair.replaced if entry[:2] == silent]
    assert replaced, "the silent link was not replaced"
    assert replaced[0][2] - cut_at <= 2.0 + TICK_S
    assert pair.tables[A.name].is_live(B.name, pair.now)


def test_dead_peer_is_noticed(pair):
    """Guards against sending work to a dead peer."""
    pair.run(5.0)
    died_at = pair.now
    pair.run(2.0, paused=(B.name,))
    assert not pair.tables[A.name].is_live(B.name, died_at + 1.6 + TICK_S)


def test_paused_process_does_not_consider_its_peers_dead(pair):
    """Guards against a process that drops every peer after it was paused."""
    pair.run(5.0)
    pair.run(30.0, paused=(A.name,))
    table = pair.tables[A.name]
    table.tick(pair.now + TICK_S)
    assert table.is_live(B.name, pair.now + TICK_S)
    assert pair.replaced == []


def test_probes_end_when_nobody_needs_the_link(pair):
    """Guards against peers that keep each other probing indefinitely."""
    pair.run(5.0)
    pair.tables[A.name].set_probe_targets([], pair.now)
    pair.run(10.0)
    n_before = pair.n_messages
    pair.run(10.0)
    assert pair.n_messages == n_before


def test_new_probes_do_not_replace_the_link_at_once(pair):
    """Guards against an old echo that counts as a timeout when probing resumes."""
    pair.run(5.0)
    pair.tables[A.name].set_probe_targets([], pair.now)
    pair.run(10.0)
    pair.tables[A.name].set_probe_targets([B.name], pair.now)
    pair.run(5.0)
    assert pair.replaced == []


def test_leaving_peer_is_known_from_its_heartbeat(pair):
    """Guards against a draining router that remains the dispatcher."""
    pair.tables[B.name].is_leaving = True
    pair.run(1.0)
    assert pair.tables[A.name].peers[B.name].is_leaving


def test_probe_repeats_the_greatest_number_received():
    """Guards against echoes that decrease when probes arrive out of order."""
    table = PeerTable("agent", "gasabo")
    for sequence in (7, 6):
        table.handle(A, Heartbeat(sequence, "router", "gasabo"), 1.0)
    (action,) = table.tick(1.0)
    assert action.destination == A.name
    assert action.message.echo == 7
    assert not action.message.is_wanted


def test_restarted_peer_is_answered_from_its_first_probe():
    """Guards against sequence numbers of an old incarnation that hide a silent link."""
    table = PeerTable("agent", "gasabo")
    table.handle(A, Heartbeat(900, "router", "gasabo"), 1.0)
    table.handle(Sender(A.name, 2), Heartbeat(1, "router", "gasabo"), 1.1)
    (action,) = table.tick(1.2)
    assert action.message.echo == 1


def test_unwanted_silent_peers_are_forgotten():
    """Guards against memory that grows with every peer ever heard from."""
    table = PeerTable("router", "gasabo")
    for n in range(1000):
        table.handle(Sender(f"10.0.1.{n}:7000", 1), Heartbeat(1, "agent", "x"), 1.0)
    for n in range(100):
        table.tick(1.0 + n * 0.5)
    assert table.peers == {}


def test_ranking_does_not_depend_on_the_order_of_the_input():
    """Guards against two processes that choose different dispatchers."""
    names = [f"10.0.0.{n}:7000" for n in range(20)]
    ranked = rank_candidates("assistant", names)
    assert rank_candidates("assistant", reversed(names)) == ranked
    assert sorted(ranked) == sorted(names)


def test_ranking_moves_only_what_the_lost_candidate_held():
    """Guards against the loss of one candidate moving assignments of the others."""
    names = [f"10.0.0.{n}:7000" for n in range(10)]
    for n_pool in range(200):
        ranked = rank_candidates(f"pool-{n_pool}", names)
        rest = [name for name in names if name != ranked[3]]
        expected = [name for name in ranked if name != ranked[3]]
        assert rank_candidates(f"pool-{n_pool}", rest) == expected


def test_ranking_spreads_pools_evenly():
    """Guards against one router that is the dispatcher of most pools."""
    names = [f"10.0.0.{n}:7000" for n in range(10)]
    first = [rank_candidates(f"pool-{n}", names)[0] for n in range(2000)]
    counts = [first.count(name) for name in names]
    assert min(counts) > 120
    assert max(counts) < 290


@pytest.mark.parametrize("n_dead", [0, 1, 2, 5, 9, 10])
def test_dispatchers_are_the_first_live_routers(n_dead):
    """Guards against a dead dispatcher, and against probing all routers."""
    names = [f"10.0.0.{n}:7000" for n in range(10)]
    ranked = rank_candidates("assistant", names)
    live, dead = set(ranked[n_dead:]), set(ranked[:n_dead])
    choice = choose_dispatchers(ranked, live, dead)
    assert choice.chosen == ranked[n_dead:][:2]
    assert choice.probed == ranked[: n_dead + 3]


def test_routers_behind_dead_ones_are_found():
    """Guards against a pool without a dispatcher because only dead ones are probed."""
    names = [f"10.0.0.{n}:7000" for n in range(10)]
    ranked = rank_candidates("assistant", names)
    network = Network(ranked[5:])
    table = network.tables["me"] = PeerTable("agent", "gasabo")
    chosen = []
    for _ in range(60):
        live = {name for name in names if table.is_live(name, network.now)}
        dead = {name for name in names if name in table.peers} - live
        chosen, probed = choose_dispatchers(ranked, live, dead)
        table.set_probe_targets(probed, network.now)
        network.run(0.1)
    assert chosen == ranked[5:7]
