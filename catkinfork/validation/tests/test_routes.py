"""Routes, services and keys that never match; each is reported, and only these."""

import pytest

from catkinfork.topology import RouteTable, Service, TrafficShare, Workspace
from catkinfork.validation import WARNING, check_configuration
from catkinfork.validation._routes import (
    check_any_route,
    check_keys,
    check_names,
    check_patterns,
    check_repeated_prefixes,
    check_targets,
    check_unused_services,
    check_weights,
)
from catkinfork.validation.tests.samples import (
    PATHS,
    list_lines,
    make_configuration,
    make_route,
)


def test_sample_has_no_findings():
    """Guards against a check that objects to a usual configuration."""
    assert check_configuration(make_configuration(), PATHS) == []


def test_configuration_without_routes_is_reported():
    """Guards against a document whose routes got lost."""
    configuration = make_configuration()._replace(routes=())
    assert list_lines(check_any_route(configuration, PATHS)) == [
        "routes: no routes: all requests are refused (404)"
    ]
    assert check_any_route(make_configuration(), PATHS) == []


def test_route_after_an_equal_prefix_is_reported():
    """Guards against a route that an earlier one hides without anybody noticing.

    The forwarders compare hosts without regard to case, and so does the check.
    """
    configuration = make_configuration(
        make_route("first", prefix="/p/"),
        make_route("longer", prefix="/p/q/"),
        make_route("other host", prefix="/p/", host="other.example"),
        make_route("hidden", prefix="/p/", host="SITE.example"),
    )
    (line,) = list_lines(check_repeated_prefixes(configuration, PATHS))
    text = "route 'hidden' never matches: routes/0 has its host and prefix"
    assert line == f"routes/3: {text}"
    assert RouteTable(configuration).find("site.example", "/p/x").name == "first"


@pytest.mark.parametrize("host", ["", "a b", "a/b", "http://a", "a\n", "é.example"])
def test_host_of_no_request_is_reported(host):
    """Guards against a route whose host no request can name."""
    (finding,) = check_patterns(make_configuration(make_route(host=host)), PATHS)
    assert finding.path == "routes/0/host"


@pytest.mark.parametrize("prefix", ["read/", "*", "/a b/", "/a?b=", "/a#b", "/é/"])
def test_prefix_of_no_request_is_reported(prefix):
    """Guards against a route whose prefix no path can begin with."""
    (finding,) = check_patterns(make_configuration(make_route(prefix=prefix)), PATHS)
    assert finding.path == "routes/0/prefix"


@pytest.mark.parametrize("prefix", ["", "/", "/a%20b", "/a"])
@pytest.mark.parametrize("host", ["a", "a:8080", "[fd00::5]:80", "A.example"])
def test_pattern_that_requests_can_have_is_not_reported(host, prefix):
    """Guards against a finding about a route that does match."""
    route = make_route(host=host, prefix=prefix)
    assert check_patterns(make_configuration(route), PATHS) == []


def test_route_without_its_service_is_reported():
    """Guards against a service whose backend servers are all rejected.

    A target with weight 0 is reported as well, as it is about to get requests.
    """
    targets = (TrafficShare("ledger", 1.0), TrafficShare("gone", 0.0))
    configuration = make_configuration(make_route(targets=targets))
    (line,) = list_lines(check_targets(configuration, PATHS))
    assert line.startswith("routes/0/targets/1: route 'read' has no service: 'gone'")


def test_service_without_a_route_is_reported():
    """Guards against backend servers that get no request because of a wrong name, or
    because an earlier route has the prefix.
    """
    names = ("ledger", "idle", "hidden")
    hidden = make_route(targets=(TrafficShare("hidden", 1.0),))
    configuration = make_configuration(
        make_route(), hidden, services={name: Service(name) for name in names}
    )
    assert list_lines(check_unused_services(configuration, PATHS)) == [
        "services/idle: no route that can match has service 'idle'",
        "services/hidden: no route that can match has service 'hidden'",
    ]


@pytest.mark.parametrize(
    ("weights", "n_findings"), [((0, 0), 1), ((0,), 1), ((0, 1), 0), ((0.5, 0.5), 0)]
)
def test_weights_that_add_up_to_zero_are_reported(weights, n_findings):
    """Guards against a split that sends all requests to its last target."""
    targets = tuple(TrafficShare("ledger", weight) for weight in weights)
    configuration = make_configuration(make_route(targets=targets))
    assert len(check_weights(configuration, PATHS)) == n_findings


def test_repeated_names_are_reported():
    """Guards against routes or workspaces that logs cannot tell apart."""
    configuration = make_configuration(
        make_route("a", prefix="/1/"),
        make_route("a", prefix="/2/"),
        workspaces=(Workspace("b", ()), Workspace("c", ()), Workspace("b", ())),
    )
    assert list_lines(check_names(configuration, PATHS)) == [
        "routes/1/name: route 'a' has the name of routes/0",
        "workspaces/2/name: workspace 'b' has the name of workspaces/0",
    ]


def test_key_of_two_workspaces_is_reported_without_the_key():
    """Guards against requests that count for another workspace, and against a secret
    in the output.
    """
    workspaces = (Workspace("a", ("secret", "x")), Workspace("b", ("y", "secret")))
    configuration = make_configuration(workspaces=workspaces)
    (line,) = list_lines(check_keys(configuration, PATHS))
    assert line.startswith("workspaces/1/keys/1: workspaces 'a' (workspaces/0/keys/0)")
    assert line.endswith("its requests count as those of 'b'")
    assert "secret" not in line
    assert RouteTable(configuration).find_workspace("secret") == "b"


def test_key_listed_twice_by_one_workspace_is_reported():
    """Guards against a list of keys that hides that one is missing."""
    workspaces = (Workspace("a", ("x", "x")),)
    (finding,) = check_keys(make_configuration(workspaces=workspaces), PATHS)
    assert finding.text == "workspace 'a' has the same key at workspaces/0/keys/0"


@pytest.mark.parametrize("key", ["", " x", "x ", "x\n", "é", "\x7f"])
def test_key_that_no_caller_can_send_is_reported(key):
    """Guards against a key that never matches; the header is stripped of spaces."""
    workspaces = (Workspace("a", (key,)),)
    (finding,) = check_keys(make_configuration(workspaces=workspaces), PATHS)
    assert (finding.severity, finding.path) == (WARNING, "workspaces/0/keys/0")


def test_long_or_unprintable_names_stay_on_one_short_line():
    """Guards against output that a name in the document breaks or floods."""
    route = make_route("a\n" * 10_000, targets=(TrafficShare("b\r\x1b" * 999, 0.0),))
    findings = check_configuration(make_configuration(route), PATHS)
    assert findings
    for finding in findings:
        assert finding.text.isprintable()
        assert len(finding.text) < 1000
