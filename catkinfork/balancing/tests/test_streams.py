"""Records of where streams began, and what is concluded without one."""

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from catkinfork.balancing import (
    MIN_STREAM_AGE_S,
    EngineCache,
    StreamOrigin,
    compute_stream_key,
)
from catkinfork.balancing._resumption import (
    CACHED,
    ONLY_VERSION,
    RECORDED,
    UNCERTAIN,
    UNCONFIRMED,
    UNKNOWN,
    OriginFinder,
)
from catkinfork.balancing._streams import MAX_STREAMS, StreamTable
from catkinfork.balancing.tests.support import (
    add_backend,
    build_balancer,
    build_job,
    build_route,
)
from catkinfork.topology import (
    CallerLimits,
    Configuration,
    Engine,
    Service,
    TrafficShare,
)
from catkinfork.topology._past import PastDepartures

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v2")
ROUTE = build_route()
KEY = compute_stream_key("a", b"r1")
LONG_AFTER = 1000.0


def build_finder(*versions, known_since=0.0, routes=(ROUTE,)):
    """Return an :class:`OriginFinder` with one backend server of each version."""
    balancer = build_balancer(n_backends=0)
    for number, version in enumerate(versions):
        add_backend(balancer, f"b{number}", version=version)
    history = balancer.registry.versions
    history.known_since = known_since
    history.read_at = history.asked_at = LONG_AFTER
    finder = OriginFinder(balancer.registry, balancer.streams)
    apply_routes(finder, 0.0, *routes)
    return finder


def apply_routes(finder, now, *routes):
    """Put a configuration with some routes in force."""
    services = {"s": Service("s"), "t": Service("t")}
    configuration = Configuration(1, routes, services, CallerLimits(), ())
    finder.apply_configuration(configuration, now)


def find(finder, key=KEY, route=ROUTE, stated_s=0.0, now=LONG_AFTER, asked_at=None):
    """Return the origin of a stream and how it is known.

    :param asked_at: time at which its caller asked, ``now`` by default.
    """
    asked_at = now if asked_at is None else asked_at
    return tuple(finder.find(route, key, stated_s, asked_at, now))


def test_record_goes_before_the_list_of_versions():
    """Guards against the version that serves now for a stream of one that left."""
    finder = build_finder("v2")
    finder.streams.record(KEY, V1, 10.0, LONG_AFTER)
    assert find(finder) == (V1, RECORDED)


def test_record_expires_with_the_deadline_of_its_caller():
    """Guards against records that stay for good."""
    finder = build_finder("v1", "v2")
    finder.streams.record(KEY, V1, 10.0, LONG_AFTER - 11.0)
    assert find(finder) == (None, UNKNOWN)


def test_all_forwarders_killed_while_two_versions_serve():
    """Guards against a guess by forwarders that have lost all records."""
    assert find(build_finder("v1", "v2")) == (None, UNKNOWN)


def test_all_forwarders_killed_after_the_older_version_left():
    """Guards against the only version listed at the start of a forwarder.

    Load pattern: the last servers of the older version leave, all forwarders are killed
    and start again, and callers resume the streams that broke off.
    """
    started_at = LONG_AFTER - 3.0
    finder = build_finder("v2", known_since=started_at)
    assert find(finder) == (None, UNKNOWN)


def test_single_version_for_a_long_time_is_certain():
    """Guards against streams that are refused though no other version can have served.

    Its forwarder was killed before it had told its peers, so that no record is left.
    """
    assert find(build_finder("v1", "v1")) == (V1, ONLY_VERSION)
    assert find(build_finder("v1"), key=None) == (V1, ONLY_VERSION)


def test_list_that_was_read_before_the_caller_asked_is_not_certain():
    """Guards against the only version that a forwarder out of step knows.

    Load pattern: during a release, a forwarder is cut off or paused for a moment in
    which servers of a newer version join and begin streams.
    """
    finder = build_finder("v1")
    asked_at = LONG_AFTER + 0.1
    later = LONG_AFTER + 0.2
    assert find(finder, now=later, asked_at=asked_at) == (None, UNCONFIRMED)
    finder.registry.versions.record_read(later, LONG_AFTER)
    assert find(finder, now=later, asked_at=asked_at) == (None, UNCONFIRMED)
    finder.registry.versions.record_read(later, asked_at)
    assert find(finder, now=later, asked_at=asked_at) == (V1, ONLY_VERSION)


def test_record_needs_no_read_of_the_store():
    """Guards against recorded streams that are refused while the store is down."""
    finder = build_finder("v1")
    finder.streams.record(KEY, V1, 10.0, LONG_AFTER)
    assert find(finder, now=LONG_AFTER + 5.0) == (V1, RECORDED)


def test_route_that_was_moved_is_not_certain():
    """Guards against the new service of a route for a stream of the former one."""
    finder = build_finder("v1")
    moved = ROUTE._replace(targets=(TrafficShare("t", 1.0),))
    apply_routes(finder, LONG_AFTER - 30.0, moved)
    apply_routes(finder, LONG_AFTER - 20.0, ROUTE)
    assert find(finder) == (None, UNKNOWN)
    later = LONG_AFTER + MIN_STREAM_AGE_S
    finder.registry.versions.asked_at = later
    assert find(finder, now=later) == (V1, ONLY_VERSION)


def test_only_version_holds_for_the_time_that_a_caller_states():
    """Guards against the version that is left for a stream which began before it.

    The caller states 300 s, for which origins are recorded, and all forwarders were
    killed 70 s ago.
    """
    finder = build_finder("v2", known_since=LONG_AFTER - 70.0)
    finder.targets_changed_at[ROUTE.host] = LONG_AFTER - 70.0
    assert find(finder) == (StreamOrigin("s", "v2"), ONLY_VERSION)
    assert find(finder, stated_s=300.0) == (None, UNKNOWN)


def test_route_with_two_services_is_not_certain():
    """Guards against one of several services for a stream without a record."""
    shares = (TrafficShare("s", 1.0), TrafficShare("t", 1.0))
    route = ROUTE._replace(targets=shares)
    finder = build_finder("v1", routes=(route,))
    assert find(finder, route=route) == (None, UNKNOWN)


def test_two_records_that_differ_are_uncertain():
    """Guards against one of two origins for an id that was used twice."""
    finder = build_finder("v1")
    finder.streams.record(KEY, V1, 10.0, LONG_AFTER)
    finder.streams.record_told(KEY, V2, 10.0, LONG_AFTER)
    assert find(finder) == (None, UNCERTAIN)
    finder.streams.record_told(KEY, V1, 10.0, LONG_AFTER)
    assert find(finder) == (None, UNCERTAIN)


def test_streams_of_another_workspace_are_not_found():
    """Guards against a caller that resumes a stream of another workspace."""
    finder = build_finder("v1", "v2")
    finder.streams.record(KEY, V1, 10.0, LONG_AFTER)
    assert find(finder, key=compute_stream_key("b", b"r1")) == (None, UNKNOWN)


def test_number_of_records_is_bounded():
    """Guards against memory that grows with the rate of streams."""
    table = StreamTable()
    for key in range(MAX_STREAMS + 10):
        table.record(key, V1, 600.0, 0.0)
    assert len(table.records) == MAX_STREAMS
    assert table.find(9, 0.0) is None
    assert table.find(10, 0.0) is not None


def test_expired_records_are_removed():
    """Guards against expired records that fill the table."""
    table = StreamTable()
    for key in range(100):
        table.record(key, V1, 1.0, 0.0)
    table.record(100, V1, 1.0, 2.0)
    assert len(table.records) == 1


@pytest.mark.parametrize("n_keys", [1, 3])
@given(
    steps=st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from([V1, V2, None]),
            st.sampled_from([0.5, 3.0, inf]),
            st.booleans(),
        )
    )
)
def test_no_stream_has_an_origin_that_was_contradicted(n_keys, steps):
    """Guards against any order of records, repeats and expiry that yields a guess."""
    table = StreamTable()
    told = {}
    for now, (key, origin, lifetime_s, is_own) in enumerate(steps):
        key %= n_keys
        told = {k: v for k, v in told.items() if now < v[1]}
        origins, expires_at = told.get(key, (set(), -inf))
        told[key] = (origins | {origin}, max(expires_at, now + lifetime_s))
        record = table.record if is_own else table.record_told
        record(key, origin, lifetime_s, float(now))
        for one, (origins, _) in told.items():
            found = table.find(one, float(now))
            expected = next(iter(origins)) if len(origins) == 1 else None
            assert found is not None
            assert found.origin == expected


# The last part of a prompt, of 40 tokens; its stream has sent 5 events.
PART = 0xB2
SENT = {0xA1: 60.0, PART: 45.0}
READ = {0xA1: 60.0, PART: 40.0}
CACHES = {
    "kept by one version": (
        [("v1", SENT), ("v1", {}), ("v2", {0xA1: 60.0})],
        (V1, CACHED),
    ),
    "kept by two engines of one version": (
        [("v1", SENT), ("v1", SENT), ("v2", {})],
        (V1, CACHED),
    ),
    "kept by two versions": ([("v1", SENT), ("v2", SENT)], (None, UNKNOWN)),
    "only read by another version": ([("v1", SENT), ("v2", READ)], (V1, CACHED)),
    "sent fewer events by another version": (
        [("v1", SENT), ("v2", {PART: 44.0})],
        (V1, CACHED),
    ),
    "only read by one version": ([("v1", READ), ("v2", {})], (V1, CACHED)),
    "only read by two versions": ([("v1", READ), ("v2", READ)], (None, UNKNOWN)),
    "only read, another version is silent": (
        [("v1", READ), ("v2", None)],
        (None, UNKNOWN),
    ),
    "kept by none": ([("v1", {0xA1: 60.0}), ("v2", {})], (None, UNKNOWN)),
    "another version is silent": ([("v1", SENT), ("v2", None)], (None, UNKNOWN)),
    "one of the same version is silent": (
        [("v1", SENT), ("v1", None), ("v2", {})],
        (V1, CACHED),
    ),
    "no engine": ([], (None, UNKNOWN)),
}


@pytest.mark.parametrize("name", CACHES)
def test_origin_by_what_engines_keep(name):
    """Guards against a guess where what the engines keep does not tell one version.

    Load pattern: all forwarders lose power while two versions serve, and the callers of
    all their streams come back.
    """
    entries, expected = CACHES[name]
    caches = [("s", [EngineCache(*entry) for entry in entries])]
    job = build_job(parts=[(0xA1, 60), (PART, 40)])
    finding = build_finder("v1").find_by_caches(job, 5, caches, LONG_AFTER - 60.0)
    assert tuple(finding) == expected


@pytest.mark.parametrize(
    ("left", "origin"),
    [
        ([("s", "v2", 30.0)], None),
        ([("s", "v2", 90.0)], V1),
        ([("s", "v1", 30.0)], V1),
        ([("t", "v2", 30.0)], V1),
        ([("s", "v1", 1.0), ("s", "v2", 59.0)], None),
    ],
    ids=str,
)
@pytest.mark.parametrize("parts", [SENT, READ], ids=["sent", "read"])
def test_engines_do_not_tell_what_a_server_that_left_has_written(left, origin, parts):
    """Guards against a text of two versions whose second half is the wrong one.

    Load pattern: sessions whose earlier request one version served and whose stream
    another one began, and the only server of that one leaves as planned. ``left`` has
    service, version and the seconds since then.
    """
    finder = build_finder("v1")
    for service, version, age_s in left:
        finder.registry.versions.record_told(service, version, LONG_AFTER - age_s)
    caches = [("s", [EngineCache("v1", parts), EngineCache("v3", {})])]
    job = build_job(parts=[(PART, 40)])
    begin = finder.compute_begin(ROUTE, 0.0, LONG_AFTER)
    assert finder.find_by_caches(job, 5, caches, begin).origin == origin


def test_server_that_started_again_has_lost_what_it_wrote():
    """Guards against a text of two versions after a server lost its memory.

    It has the same version as before, and another one has read the same prompt.
    """
    balancer = build_balancer(n_backends=0)
    finder = OriginFinder(balancer.registry, balancer.streams)
    add_backend(balancer, "b1", version="v2", started_ms=1000)
    caches = [("s", [EngineCache("v1", SENT), EngineCache("v2", {})])]
    job = build_job(parts=[(PART, 40)])
    assert finder.find_by_caches(job, 5, caches, -60.0).origin == V1
    add_backend(balancer, "b1", version="v2", started_ms=2000)
    assert finder.find_by_caches(job, 5, caches, -60.0).origin is None


def test_origin_is_unknown_if_engines_of_two_services_keep_the_prompt():
    """Guards against one of two services whose engines have the same version."""
    caches = [(name, [EngineCache("v1", SENT)]) for name in "st"]
    job = build_job(parts=[(PART, 40)])
    finder = build_finder("v1")
    assert finder.find_by_caches(job, 5, caches, 0.0).origin is None


def follow_versions(balancer, now):
    """Follow the versions of the backend servers, as after each read of the store."""
    registry = balancer.registry
    balancer.streams.follow_versions(
        registry.list_versions(), registry.versions.gap_s, now
    )


def test_service_of_a_removed_longer_route_is_not_certain():
    """Guards against the service of a route that was not that of the stream.

    The stream began on a route with a longer prefix, which the operator has removed
    since; its requests match the shorter one now.
    """
    finder = build_finder("v1")
    targets = (TrafficShare("t", 1.0),)
    longer = ROUTE._replace(prefix="/r/x/", targets=targets)
    apply_routes(finder, 0.0, ROUTE, longer)
    apply_routes(finder, LONG_AFTER - 2.0, ROUTE)
    assert find(finder)[0] is None


def test_version_of_a_restart_is_doubted_after_a_gap_in_its_entries():
    """Guards against streams of a restarted server that count for its former version.

    The former entry expires before the new one is read.
    """
    balancer = build_balancer(n_backends=0)
    add_backend(balancer, "a0", version="v1")
    add_backend(balancer, "a1", version="v1")
    follow_versions(balancer, 0.0)
    streams = balancer.streams
    streams.record(7, StreamOrigin("s", "v1"), 10.0, 1.0)
    streams.record_begun(7, "a0", 1.0)
    balancer.registry.remove("a0", 1.5, 1.5)
    follow_versions(balancer, 1.5)
    add_backend(balancer, "a0", version="v2")
    follow_versions(balancer, 2.0)
    assert streams.find(7, 2.0).origin is None


def test_restart_during_a_store_outage_leaves_no_certain_origin():
    """Guards against streams of a restarted server that count for its former version.

    The store is down for 9 s, within which the server starts again under its id; its
    entry is read after the outage. The streams that began there are of either version.
    """
    balancer = build_balancer(n_backends=0)
    add_backend(balancer, "a0", version="v1")
    add_backend(balancer, "a1", version="v1")
    balancer.registry.versions.record_read(0.0)
    follow_versions(balancer, 0.0)
    balancer.streams.record(7, StreamOrigin("s", "v1"), 20.0, 2.0)
    balancer.streams.record_begun(7, "a0", 2.0)
    add_backend(balancer, "a0", version="v2")
    balancer.registry.versions.record_read(9.0)
    follow_versions(balancer, 9.0)
    assert balancer.streams.find(7, 9.0).origin is None


@pytest.mark.parametrize(
    ("n_kept", "n_event_tokens", "origin"),
    [(40, 0, None), (44, 0, None), (45, 0, V1), (79, 8, None), (80, 8, V1)],
)
def test_unknown_departure_leaves_an_engine_that_generated_as_much(
    n_kept, n_event_tokens, origin
):
    """Guards against streams that are all refused after a loss of power.

    A server of an unknown version has left before, and the others have only read the
    prompt, or generated less after it than the caller has received.
    """
    finder = build_finder("v1")
    departures = PastDepartures([], has_unknown=True)
    finder.registry.versions.record_past(departures, 20.0, LONG_AFTER - 1.0)
    engine = Engine(64, 1000, n_event_tokens=n_event_tokens)
    finder.services = {"s": Service("s", "/", 9, 0.0, 0.0, engine)}
    caches = [("s", [EngineCache("v1", {PART: n_kept}), EngineCache("v3", {})])]
    job = build_job(parts=[(PART, 40)])
    begin = finder.compute_begin(ROUTE, 0.0, LONG_AFTER)
    assert finder.find_by_caches(job, 5, caches, begin).origin == origin
