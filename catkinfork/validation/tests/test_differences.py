"""Differences from the configuration in force, and their effect on requests."""

import pytest

from catkinfork.topology import (
    CallerLimits,
    Engine,
    Route,
    Service,
    TrafficShare,
    Workspace,
)
from catkinfork.validation import ERROR, NOTE, ConfigurationView
from catkinfork.validation._differences import check_version, list_differences
from catkinfork.validation.tests.samples import (
    PATHS,
    list_lines,
    make_configuration,
    make_route,
)

OLD = make_configuration()
KEPT = "; running requests keep what held on their arrival"


def list_changes(new, old=OLD):
    """Return the lines about the differences between two configurations."""
    findings = list_differences(new, PATHS, ConfigurationView(old, PATHS))
    assert all(finding.severity == NOTE for finding in findings)
    return list_lines(findings)


def list_route_changes(old=None, **changes):
    """Return the lines about one changed route."""
    old = old or make_route()
    new = make_configuration(old._replace(**changes))
    return list_changes(new, make_configuration(old))


@pytest.mark.parametrize(
    ("version", "changes", "severities"),
    [
        (8, {}, []),
        (8, {"routes": ()}, []),
        (7, {}, [NOTE]),
        (7, {"routes": ()}, [ERROR]),
        (6, {}, [ERROR]),
    ],
)
def test_version_that_forwarders_would_ignore_is_reported(version, changes, severities):
    """Guards against a document that is published and has no effect."""
    new = OLD._replace(version=version, **changes)
    findings = check_version(new, PATHS, ConfigurationView(OLD, PATHS))
    assert [finding.severity for finding in findings] == severities
    assert all(finding.path == "version" for finding in findings)


def test_equal_configurations_have_no_differences():
    """Guards against notes about what does not change."""
    assert list_changes(OLD._replace(version=8)) == []


def test_order_and_case_of_hosts_are_no_differences():
    """Guards against notes about what no request notices."""
    routes = (make_route("a"), make_route("b"))
    new = (routes[1], routes[0]._replace(host="SITE.EXAMPLE"))
    assert list_changes(make_configuration(*new), make_configuration(*routes)) == []


def test_removed_route_names_where_its_requests_go():
    """Guards against requests that are refused without the operator expecting it."""
    inner = make_route("inner", prefix="/read/inner/")
    lone = make_route("lone")
    old = make_configuration(make_route(), inner, lone)
    assert list_changes(OLD, old) == [
        "routes: route 'inner' (site.example/read/inner/) removed: new requests go to "
        f"route 'read'{KEPT}",
        "routes: route 'lone' (site.example/lone/) removed: new requests are refused "
        f"(404){KEPT}",
    ]


def test_added_route_names_whose_requests_it_takes():
    """Guards against a route that takes requests of another one unnoticed."""
    inner = make_route("inner", prefix="/read/inner/")
    lone = make_route("lone")
    assert list_changes(make_configuration(make_route(), inner, lone)) == [
        "routes/1: route 'inner' (site.example/read/inner/) added: takes requests of "
        f"route 'read'{KEPT}",
        "routes/2: route 'lone' (site.example/lone/) added",
    ]


def test_moved_route_names_its_services():
    """Guards against a move that changes where requests go without a note."""
    targets = (TrafficShare("ledger", 1.0), TrafficShare("b", 3.0))
    (line,) = list_route_changes(targets=targets)
    assert line == (
        "routes/0/targets: route 'read': moved, ledger -> ledger (1) + b (3); running "
        "requests finish at their service"
    )


def test_moved_resumable_route_warns_of_refused_streams():
    """Guards against resumptions that are refused after a move."""
    old = make_route(kind="streaming", is_resumable=True)
    (line,) = list_route_changes(old, targets=(TrafficShare("b", 1.0),))
    effect = "; streams of an earlier service that a caller resumes may be refused"
    assert line.endswith(effect)


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        ({"timeout_s": 1.0}, "timeout shortened, 3 s -> 1 s"),
        ({"timeout_s": 9.0}, "timeout extended, 3 s -> 9 s"),
        ({"latency_target_s": 0.1}, "latency target shortened, 0.3 s -> 0.1 s"),
        ({"max_event_gap_s": 1.0}, "longest pause between events extended, 0 s -> 1 s"),
        ({"kind": "unsafe"}, "kind 'safe' -> 'unsafe'"),
        ({"max_attempts": 1}, "max attempts 2 -> 1"),
        ({"is_public": True}, "new requests need no key"),
        ({"is_resumable": True}, "new streams may be resumed"),
        ({"has_prompt": True}, "new requests declare the parts of their prompt"),
    ],
)
def test_changed_route_is_described(changes, text):
    """Guards against a change of a route without a note, such as a shorter timeout."""
    (line,) = list_route_changes(**changes)
    (field,) = changes
    assert line == f"routes/0/{field}: route 'read': {text}{KEPT}"


def test_every_field_of_a_route_is_compared():
    """Guards against a field added to routes whose changes nobody sees."""
    # Host and prefix identify a route; the last one is derived from its times.
    identity = {"host", "prefix", "caller_idle_timeout_s"}
    for field in set(Route._fields) - identity:
        old = make_route()
        value = getattr(old, field)
        changed = not value if isinstance(value, bool) else value * 2
        assert list_route_changes(old, **{field: changed or 1.0}), field


def test_changed_services_are_described():
    """Guards against a change of a service without a note."""
    services = {
        "ledger": Service("ledger", cold_s=2.0, engine=Engine(8, 1000)),
        "b": Service("b"),
    }
    new = OLD._replace(services=services)
    effect = "; applies at once, running requests go on"
    assert list_changes(new) == [
        f"services/ledger/cold_s: service 'ledger': 0 -> 2{effect}",
        "services/ledger/engine: service 'ledger': none -> n_slots 8, n_memory_tokens "
        f"1000, token_bytes 0, link_bytes_per_s 0, n_event_tokens 0{effect}",
        "services/b: service 'b' added",
    ]
    line = list_changes(OLD, new)[0]
    assert line.startswith("services: service 'b' removed: its backend servers")


@pytest.mark.parametrize(
    ("field", "unit", "effect"),
    [
        ("max_header_bytes", "bytes", "requests whose head is still being received"),
        ("max_body_bytes", "bytes", "requests whose body is still being received"),
        ("header_timeout_s", "s", "applies to heads that are being received"),
        ("idle_timeout_s", "s", "open connections that have been idle for longer"),
        ("tokens_per_s", "tokens/s", ""),
    ],
)
def test_changed_limits_are_described(field, unit, effect):
    """Guards against a lower limit that ends connections without a note."""
    low = CallerLimits(1, 1, 1.0, 1.0, 1.0)
    old = OLD._replace(limits=low._replace(**{field: 2}))
    new = OLD._replace(limits=low)
    (line,) = list_changes(new, old)
    assert line.startswith(f"limits/{field}: 2 -> 1 {unit}")
    assert effect in line
    (line,) = list_changes(old, new)
    assert line == f"limits/{field}: 1 -> 2 {unit}"


def test_changed_keys_are_counted_without_the_keys():
    """Guards against withdrawn keys without a note, and against secrets in it."""
    new = OLD._replace(
        workspaces=(Workspace("a", ("key-4",)), Workspace("b", ("key-3", "key-2")))
    )
    lines = list_changes(new)
    assert lines == [
        "workspaces/0: workspace 'a': 1 key withdrawn: new requests with one are "
        "refused (401); running requests go on",
        "workspaces/0: workspace 'a': 1 key moved to another workspace; running "
        "requests go on",
        "workspaces/0: workspace 'a': 1 key added",
    ]
    assert "key-" not in "".join(lines)


def test_removed_workspace_is_described():
    """Guards against a workspace whose callers are refused without a note."""
    new = OLD._replace(workspaces=OLD.workspaces[:1])
    assert list_changes(new) == [
        "workspaces: workspace 'b': 1 key withdrawn: new requests with one are "
        "refused (401); running requests go on",
        "workspaces: workspace 'b' removed",
    ]


def test_last_workspace_removed_opens_all_routes():
    """Guards against a document that lets everybody in.

    Without any workspace, the forwarders accept requests without a key.
    """
    new = OLD._replace(workspaces=())
    assert list_changes(new)[-1] == (
        "workspaces: new requests need no key, except on public routes"
    )
