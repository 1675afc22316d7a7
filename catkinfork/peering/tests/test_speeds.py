"""Speeds of engines, told between forwarders, while links and servers fail."""

import math
import random

import msgspec
import pytest

from catkinfork.balancing import LoadFigures, SpeedFigures
from catkinfork.peering import decode_frame, encode_frame
from catkinfork.peering._frames import MAX_FRAME_BYTES, MAX_TOTAL, Frame, SpeedEntry
from catkinfork.peering._speed_notices import (
    IGNORED_LOG_INTERVAL_S,
    MAX_FIRST_ATTEMPTS,
    MAX_REPEATED_SPEEDS,
    MAX_SPEEDS_PER_FRAME,
)
from catkinfork.peering._state import MIN_SPEEDS_PER_FRAME
from catkinfork.peering.tests.engine_fleet import SimulatedForwarder

ADDRESSES = ["10.0.0.1", "10.0.0.2"]
NAMES = [f"e{number}" for number in range(26)]
STARTED_MS = 1000
N_TOKENS = 4000


def build_pair(names=NAMES, n_attempts=0):
    """Return two forwarders that know each other, and the time.

    :param n_attempts: attempts that the first one has counted at each engine.
    """
    first, second = (
        SimulatedForwarder(address, ADDRESSES, 4.0, names) for address in ADDRESSES
    )
    for node in (first, second):
        node.balancer.update_speeds(0.0)
    for name in names if n_attempts else ():
        count(first, name, 0.0, n_attempts)
    return first, second


def count(node, name, now, n_attempts=1, speed=1.0):
    """Count attempts that take 10 us a token at speed 1."""
    pool = node.balancer.pools["s"]
    record = pool.find(name).speed_record
    n_tokens = N_TOKENS * n_attempts
    figures = SpeedFigures(n_attempts, round(10 * n_tokens / speed), n_tokens)
    record.totals = record.totals.add(figures)
    pool.speeds.record(record, figures, now)
    node.balancer.changes.speeds[("s", name)] = True


def build_data(node, now, is_full=True):
    """Return the next datagram of a forwarder."""
    return node.exchange.build_datagram(is_full, now)


def receive(node, data, now):
    """Handle a datagram at a forwarder."""
    node.exchange.handle_frame(decode_frame(data), now)


def read_sums(node, name, now):
    """Return the recent attempts at an engine, as a forwarder knows them."""
    pool = node.balancer.pools["s"]
    record = pool.find(name).speed_record
    record.decay(1e9, now)
    return record.sums


def list_told(data):
    """Return the entries on speeds in a datagram."""
    return decode_frame(data).speeds


class TestTotals:
    """Differences of totals, over links that fail."""

    def test_attempts_reach_the_peers_once(self):
        """Guards against attempts that count twice as their total is repeated."""
        first, second = build_pair()
        count(first, "e3", 1.0, 3)
        for step in range(5):
            receive(second, build_data(first, 1.0 + step / 100), 1.0 + step / 100)
        assert read_sums(second, "e3", 1.05).n_attempts == pytest.approx(3, rel=0.05)

    def test_later_frame_makes_up_for_a_lost_one(self):
        """Guards against attempts that are never known after a lost datagram."""
        first, second = build_pair()
        count(first, "e3", 1.0, 2)
        receive(second, build_data(first, 1.0), 1.0)
        count(first, "e3", 1.1, 2)
        build_data(first, 1.1)
        build_data(first, 1.2)
        receive(second, build_data(first, 1.3), 1.3)
        assert read_sums(second, "e3", 1.3).n_attempts > 3.5

    def test_duplicated_and_reordered_frames_count_once(self):
        """Guards against an older total that is taken for a restart, or added again."""
        rng = random.Random(3)
        first, second = build_pair()
        sent = []
        for step in range(30):
            now = 1.0 + step / 1000
            count(first, "e3", now)
            sent.append(build_data(first, now))
        for start in range(0, 30, 5):
            some = 2 * sent[start : start + 5]
            rng.shuffle(some)
            for data in some:
                receive(second, data, 1.1)
        receive(second, sent[-1], 1.1)
        n_attempts = read_sums(second, "e3", 1.1).n_attempts
        assert n_attempts == pytest.approx(30, rel=0.1)

    def test_restarted_peer_begins_anew(self):
        """Guards against totals of a new incarnation taken as differences to the old.

        It would count nothing until they exceed the former ones.
        """
        first, second = build_pair()
        count(first, "e3", 1.0, 5)
        old = build_data(first, 1.0)
        receive(second, old, 1.0)
        again, _ = build_pair()
        again.exchange.incarnation = 2
        count(again, "e3", 1.1, 2)
        receive(second, build_data(again, 1.1), 1.1)
        receive(second, old, 1.2)
        assert read_sums(second, "e3", 1.2).n_attempts == pytest.approx(7, rel=0.2)

    def test_first_total_with_older_attempts_is_only_a_baseline(self):
        """Guards against an hour of attempts that a new forwarder counts as recent."""
        first, second = build_pair(n_attempts=MAX_FIRST_ATTEMPTS + 1)
        receive(second, build_data(first, 1.0), 1.0)
        told = list_told(build_data(first, 1.0))[0]
        name = next(n for n in NAMES if first.exchange.compute_hash(n) == told.backend)
        assert read_sums(second, name, 1.0).n_attempts == 0
        count(first, "e0", 1.1)
        receive(second, build_data(first, 1.2), 1.2)
        receive(second, build_data(first, 1.3), 1.3)
        assert read_sums(second, "e0", 1.3).n_attempts == pytest.approx(1)

    def test_attempts_during_an_interruption_count_for_one_window(self):
        """Guards against old attempts that outweigh recent ones once a link is back."""
        first, second = build_pair()
        count(first, "e3", 1.0)
        receive(second, build_data(first, 1.0), 1.0)
        second.exchange.remove_silent_peers(30.0)
        count(first, "e3", 30.0, 400, speed=0.4)
        receive(second, build_data(first, 41.0), 41.0)
        n_attempts = read_sums(second, "e3", 41.0).n_attempts
        assert n_attempts == pytest.approx(400 * 4 / 40, rel=0.01)

    def test_forwarder_without_peers_knows_little(self):
        """Guards against a lone forwarder that trusts a few attempts of its own."""
        first, _ = build_pair()
        for now in range(0, 80, 2):
            for name in NAMES:
                count(first, name, now, speed=0.46 if name == "e0" else 1.0)
            first.balancer.update_speeds(now)
        assert set(first.speeds.values()) == {1.0}

    def test_frame_of_an_earlier_release(self):
        """Guards against peers that are not heard while releases are mixed."""
        first, second = build_pair()
        count(first, "e3", 1.0)
        fields = msgspec.msgpack.decode(build_data(first, 1.0))
        n_earlier = [field.name for field in msgspec.structs.fields(Frame)].index(
            "speeds"
        )
        assert n_earlier == len(fields) - 1
        receive(second, msgspec.msgpack.encode(fields[:-1]), 1.0)
        assert second.directory.count_fresh(1.0) == 2
        assert read_sums(second, "e3", 1.0).n_attempts == 0

    def test_peers_of_a_forwarder_without_the_setting(self):
        """Guards against speeds that come into force through peers only."""
        first, _ = build_pair()
        second = SimulatedForwarder(ADDRESSES[1], ADDRESSES, 0.0, NAMES)
        for step in range(200):
            now = step / 20
            count(first, "e3", now, speed=0.3)
            receive(second, build_data(first, now), now)
            second.balancer.update_speeds(now)
        assert set(second.speeds.values()) <= {1.0}
        assert not list_told(build_data(second, 10.0))


class TestServers:
    """Engines that start again."""

    def test_attempts_at_a_former_start_are_not_counted(self):
        """Guards against a new engine that is slow on the word of a late peer."""
        first, second = build_pair()
        count(first, "e3", 1.0, 2)
        backend = second.balancer.registry.backends["e3"]
        backend.entry = backend.entry._replace(started_ms=9000)
        second.balancer.update_speeds(1.0)
        receive(second, build_data(first, 1.0), 1.0)
        assert read_sums(second, "e3", 1.0).n_attempts == 0

    def test_totals_begin_anew_with_the_engine(self):
        """Guards against totals of a new start taken as differences to the old one."""
        first, second = build_pair()
        count(first, "e3", 1.0, 6, speed=0.4)
        receive(second, build_data(first, 1.0), 1.0)
        for node in (first, second):
            backend = node.balancer.registry.backends["e3"]
            backend.entry = backend.entry._replace(started_ms=9000)
            node.balancer.update_speeds(2.0)
        count(first, "e3", 2.1, 2)
        receive(second, build_data(first, 2.1), 2.1)
        sums = read_sums(second, "e3", 2.1)
        assert sums.n_attempts == 2
        assert sums.us_per_token == pytest.approx(10)


class TestOddValues:
    """Figures that cannot be right."""

    @pytest.mark.parametrize(
        "figures",
        [
            (MAX_TOTAL, MAX_TOTAL, MAX_TOTAL),
            (3, 0, 3 * N_TOKENS),
            (3, 100_000, 0),
            (3, 1, 3 * N_TOKENS),
            (3, 2**50, 3 * N_TOKENS),
            (3, 100_000, 2**50),
            (10**6, 10**11, 10**10),
            (1, 40_000, 9000),
            (4, 60_000, 9000),
        ],
    )
    def test_odd_difference_is_ignored_and_logged(self, figures):
        """Guards against one faulty peer that sets the speed of an engine.

        The last two are lower than the totals before in one figure.
        """
        first, second = build_pair()
        count(first, "e3", 1.0, 2)
        receive(second, build_data(first, 1.0), 1.0)
        before = read_sums(second, "e3", 1.0)
        frame = decode_frame(build_data(first, 1.1))
        hashed = first.exchange.compute_hash("e3")
        frame.speeds = [SpeedEntry(hashed, STARTED_MS, *figures)]
        receive(second, encode_frame(frame), 1.1)
        after = read_sums(second, "e3", 1.1)
        assert after.n_attempts == pytest.approx(before.n_attempts, rel=0.01)
        assert [one.event.number for one in second.events].count(1102) == 1
        count(first, "e3", 1.2)
        receive(second, build_data(first, 1.2), 1.2)
        count(first, "e3", 1.3)
        receive(second, build_data(first, 1.3), 1.3)
        assert read_sums(second, "e3", 1.3).n_attempts > before.n_attempts

    def test_ignored_figures_are_logged_once_in_an_interval(self):
        """Guards against a log line for each frame of a faulty peer."""
        first, second = build_pair()
        hashed = first.exchange.compute_hash("e3")
        n_frames = 500
        for step in range(n_frames):
            frame = decode_frame(build_data(first, step / 10))
            odd = 5 if step % 2 else 7
            frame.speeds = [SpeedEntry(hashed, STARTED_MS, odd, 0, odd)]
            receive(second, encode_frame(frame), step / 10)
        n_lines = [one.event.number for one in second.events].count(1102)
        assert n_lines <= 1 + n_frames / 10 / IGNORED_LOG_INTERVAL_S

    @pytest.mark.parametrize("odd", [-1, 0.5, math.nan, math.inf, None, "1", 2**64 - 1])
    def test_values_that_are_no_totals_are_left_out(self, odd):
        """Guards against a figure that raises or stays in the sums for ever."""
        first, second = build_pair()
        fields = msgspec.msgpack.decode(build_data(first, 1.0))
        hashed = first.exchange.compute_hash("e3")
        for number in (2, 3, 4):
            entry = [hashed, STARTED_MS, 2, 80_000, 2 * N_TOKENS]
            sound = [first.exchange.compute_hash("e5"), *entry[1:]]
            entry[number] = odd
            fields[2] += 1
            fields[-1] = [entry, sound]
            receive(second, msgspec.msgpack.encode(fields), 1.0)
        second.balancer.update_speeds(1.5)
        assert read_sums(second, "e3", 1.5).n_attempts == 0
        assert read_sums(second, "e5", 1.5).n_attempts > 0
        assert second.speeds["e3"] == 1.0

    def test_unknown_engines_take_no_memory(self):
        """Guards against memory that grows with the hashes that a frame makes up."""
        first, second = build_pair()
        frame = decode_frame(build_data(first, 1.0))
        frame.speeds = [SpeedEntry(n, 0, 1, 40_000, N_TOKENS) for n in range(1000)]
        receive(second, encode_frame(frame), 1.0)
        assert not second.directory.peers[ADDRESSES[0]].speeds


class TestFrames:
    """What a frame has space for."""

    def test_all_engines_are_told_in_rotation(self):
        """Guards against engines that are never told as others change more often."""
        first, _ = build_pair(n_attempts=1)
        told = []
        for step in range(7):
            for name in NAMES[:10]:
                count(first, name, step)
            entries = list_told(build_data(first, step))
            assert len(entries) <= MAX_SPEEDS_PER_FRAME
            told += [entry.backend for entry in entries]
        assert len(set(told)) == len(NAMES)

    def test_few_totals_are_repeated_without_a_change(self):
        """Guards against frames of a large fleet that are full of repeats."""
        first, _ = build_pair(n_attempts=1)
        while first.balancer.changes.speeds:
            build_data(first, 1.0)
        assert len(list_told(build_data(first, 2.0))) == MAX_REPEATED_SPEEDS

    def test_rare_attempts_of_a_steady_peer_count_in_full(self):
        """Guards against a large fleet that takes rare attempts for old ones.

        Load pattern: 388 forwarders, each with an attempt at an engine every 30 s.
        """
        first, second = build_pair()
        count(first, "e3", 1.0)
        for step in range(300):
            now = 1.0 + step / 10
            data = build_data(first, now, is_full=step % 10 == 0)
            receive(second, data, now)
            second.exchange.remove_silent_peers(now)
        count(first, "e3", 31.0)
        receive(second, build_data(first, 31.0), 31.0)
        assert read_sums(second, "e3", 31.0).n_attempts == pytest.approx(1, abs=0.01)

    def test_frames_between_full_ones_have_no_speeds(self):
        """Guards against bytes that grow with the number of frames."""
        first, _ = build_pair(n_attempts=1)
        build_data(first, 1.0)
        assert not list_told(build_data(first, 1.1, is_full=False))

    def test_speeds_without_space_go_to_the_next_frame(self):
        """Guards against parts that are dropped, each of which costs a prefill.

        Load pattern: a full frame with the parts of many placements.
        """
        first, _ = build_pair(n_attempts=1)
        parts = tuple((2**63 + number, 5000) for number in range(2))
        first.balancer.changes.parts = [("s", "e1", parts)] * 32
        without = SimulatedForwarder(ADDRESSES[0], ADDRESSES, 0.0, NAMES)
        without.balancer.changes.parts = [("s", "e1", parts)] * 32
        data = build_data(first, 1.0)
        assert len(data) <= MAX_FRAME_BYTES
        frame = decode_frame(data)
        assert len(frame.parts) == len(decode_frame(build_data(without, 1.0)).parts)
        assert MIN_SPEEDS_PER_FRAME <= len(frame.speeds) < MAX_SPEEDS_PER_FRAME
        rest = list_told(build_data(first, 1.1, is_full=False))
        assert len(rest) + len(frame.speeds) == MAX_SPEEDS_PER_FRAME
        assert not set(rest) & set(frame.speeds)

    def test_usage_goes_before_speeds(self):
        """Guards against queues in the wrong order as speeds take the space of usage.

        Load pattern: full frames of a large fleet. The load at 66 engines and the usage
        leave no space for even four speeds.
        """
        names = [f"e{number}" for number in range(66)]
        first, _ = build_pair(names, n_attempts=1)
        without = SimulatedForwarder(ADDRESSES[0], ADDRESSES, 0.0, names)
        for node in (first, without):
            pool = node.balancer.pools["s"]
            for name in names:
                load = pool.find(name).load
                load.n_in_flight, load.n_pending_tokens = 3, 9000
                load.n_memory_tokens = 70_000
            for number in range(20):
                pool.shares.record_demand(f"w{number}", 10**6, 1.0)
        data = build_data(first, 1.0)
        assert len(data) <= MAX_FRAME_BYTES
        frame = decode_frame(data)
        assert len(frame.uses) == 20 == len(decode_frame(build_data(without, 1.0)).uses)
        assert len(frame.loads) == len(names)
        rest = list_told(build_data(first, 1.1, is_full=False))
        assert len(rest) + len(frame.speeds) == MAX_SPEEDS_PER_FRAME

    def test_loads_are_kept_when_a_frame_is_full(self):
        """Guards against loads that are dropped for speeds."""
        first, second = build_pair(n_attempts=1)
        pool = first.balancer.pools["s"]
        for name in NAMES:
            pool.find(name).load.n_in_flight = 7
        first.balancer.changes.parts = [("s", "e1", ((2**63, 5000),))] * 40
        receive(second, build_data(first, 1.0), 1.0)
        states = second.balancer.pools["s"].states
        assert {one.load.peers[ADDRESSES[0]] for one in states.values()} == {
            LoadFigures(7, 0, 0)
        }
