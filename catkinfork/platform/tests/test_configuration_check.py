"""Check of the operator's document: errors with their location, and odd fields."""

import pytest

from catkinfork.platform import PlatformDecoder, check_document
from catkinfork.platform._documents import (
    ConfigurationDocument,
    LimitsDocument,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
)
from catkinfork.platform.tests.samples import (
    KEY,
    Fields,
    JsonText,
    change_document,
    encode_document,
    make_document,
)
from catkinfork.topology import (
    CallerLimits,
    Configuration,
    Item,
    Route,
    Service,
    Workspace,
)
from catkinfork.validation import (
    ERROR,
    WARNING,
    ConfigurationView,
    UnusableError,
    check_configuration,
)

ROUTE = ("routes", 0)
SERVICE = ("services", 0)

# Path, value set there (... removes it), and part of the text of the finding.
ERRORS = [
    (("version",), "12", "Expected `int`, got `str`"),
    (("version",), 12.5, "Expected `int`, got `float`"),
    (("version",), -1, "version -1: expected an integer"),
    (("version",), 2**63, "version 9223372036854775808: expected"),
    (("version",), ..., "the field is missing"),
    (("routes",), {}, "Expected `array`, got `object`"),
    (("routes",), ..., "the field is missing"),
    (ROUTE, [], "Expected `object`, got `array`"),
    ((*ROUTE, "name"), None, "Expected `str`, got `null`"),
    ((*ROUTE, "prefix"), ..., "the field is missing"),
    ((*ROUTE, "kind"), "Safe", "Invalid enum value 'Safe'"),
    ((*ROUTE, "timeout_ms"), -1, "timeout_ms -1.0: expected a number 0 to"),
    ((*ROUTE, "aim_ms"), JsonText("1e999"), "Number out of range"),
    ((*ROUTE, "aim_ms"), JsonText("9" * 400), "out of range"),
    ((*ROUTE, "gap_target_ms"), -0.5, "gap_target_ms -0.5: expected"),
    ((*ROUTE, "max_attempts"), -1, "max_attempts -1: expected"),
    ((*ROUTE, "sticky"), 1, "Expected `bool`, got `int`"),
    ((*ROUTE, "traffic_split"), None, "Expected `array`, got `null`"),
    ((*ROUTE, "traffic_split", 1), "a", "Expected `object`, got `str`"),
    ((*ROUTE, "traffic_split", 1, "service"), ..., "the field is missing"),
    ((*ROUTE, "traffic_split", 1, "weight"), -1, "weight -1.0: expected"),
    ((*ROUTE, "traffic_split", 0, "weight"), "1", "Expected `float`, got `str`"),
    ((*SERVICE, "name"), "a\n", "service 'a\\n': expected 1 to 200 printable"),
    ((*SERVICE, "cold_s"), -1, "cold_s -1.0: expected"),
    ((*SERVICE, "max_connections"), "9", "Expected `float`, got `str`"),
    ((*SERVICE, "engine"), [], "Expected `object`, got `array`"),
    ((*SERVICE, "engine", "slots"), -1, "slots -1.0: expected"),
    ((*SERVICE, "engine", "kv_capacity"), ..., "the field is missing"),
    (("limits",), None, "Expected `object`, got `null`"),
    (("limits", "max_body_bytes"), -1, "max_body_bytes -1.0: expected"),
    (("limits", "tokens_per_s"), True, "Expected `float`, got `bool`"),
    (("tenants", 0, "name"), "", "tenant '': expected 1 to 200 printable"),
    (("tenants", 0, "api_keys", 0), 5, "Expected `str`, got `int`"),
]


def format_path(path):
    """Return the JSON path of a list of steps."""
    steps = (f"[{step}]" if isinstance(step, int) else f".{step}" for step in path)
    return "$" + "".join(steps)


def check(document):
    """Return the result of the check of a document."""
    return check_document(encode_document(document))


def list_findings(document):
    """Return the paths and the texts of the findings of a document, as lines."""
    return [finding.describe() for finding in check(document).findings]


def test_sample_has_no_findings():
    """Guards against findings about fields that the platform's documents have."""
    checked = check(make_document())
    assert checked.findings == []
    assert check_configuration(checked.configuration, checked.paths) == []


@pytest.mark.parametrize(("path", "value", "text"), ERRORS)
def test_error_is_reported_with_its_location(path, value, text):
    """Guards against an error without its place, or one that is reported twice."""
    document = make_document()
    change_document(document, path, value)
    checked = check(document)
    assert checked.configuration is None
    (finding,) = checked.findings
    assert (finding.severity, finding.path) == (ERROR, format_path(path))
    assert text in finding.text


def test_all_errors_are_reported_at_once():
    """Guards against a check that ends at the first error, as the decoder does."""
    document = make_document()
    paths = [
        ("version",),
        (*ROUTE, "timeout_ms"),
        (*ROUTE, "aim_ms"),
        (*ROUTE, "max_attempts"),
        (*ROUTE, "traffic_split", 0, "weight"),
        (*ROUTE, "traffic_split", 1, "weight"),
        ("routes", 1, "gap_target_ms"),
        (*SERVICE, "cold_per_s"),
        (*SERVICE, "engine", "slots"),
        (*SERVICE, "engine", "kv_capacity"),
        ("services", 1, "cold_s"),
        ("limits", "max_header_bytes"),
        ("limits", "tokens_per_s"),
    ]
    for path in paths:
        change_document(document, path, -1)
    change_document(document, ("tenants", 0, "name"), "")
    change_document(document, ("tenants", 1, "name"), 5)
    change_document(document, ("routes", 1, "kind"), "other")
    paths += [("tenants", 0, "name"), ("tenants", 1, "name"), ("routes", 1, "kind")]
    findings = check(document).findings
    assert {finding.severity for finding in findings} == {ERROR}
    assert sorted(one.path for one in findings) == sorted(map(format_path, paths))


def test_route_without_any_service_is_located():
    """Guards against an error of a route as a whole that does not name the route."""
    document = make_document()
    change_document(document, ("routes", 1, "service"), ...)
    assert list_findings(document) == [
        "error: $.routes[1]: route 'read' has no service"
    ]


@pytest.mark.parametrize("text", ["[]", "7", "null", '"a"', "{}"])
def test_json_that_is_no_configuration_is_an_error(text):
    """Guards against a document of another kind that is called clean."""
    checked = check_document(text.encode())
    assert checked.configuration is None
    assert all(finding.severity == ERROR for finding in checked.findings)
    assert checked.findings


def test_duplicate_field_is_an_error():
    """Guards against a field of which the decoder drops a value."""
    document = Fields([*make_document().items(), ("version", 13)])
    (line,) = list_findings(document)
    assert line.startswith("error: $.version: the field appears 2 times")


@pytest.mark.parametrize(
    ("path", "hint"),
    [
        (("verison",), "did you mean version?"),
        ((*ROUTE, "max_attempt"), "did you mean max_attempts?"),
        ((*ROUTE, "traffic_split", 0, "wieght"), "did you mean weight?"),
        ((*SERVICE, "engine", "xyz"), 'unknown field "xyz", which has no effect'),
        (("limits", "idle_timeout_s"), "did you mean idle_timeout_ms?"),
        (("tenants", 0, "keys"), "did you mean api_keys?"),
    ],
)
def test_unknown_field_is_reported(path, hint):
    """Guards against a misspelt field, which the decoder ignores."""
    document = make_document()
    change_document(document, path, 1)
    checked = check(document)
    (finding,) = checked.findings
    assert (finding.severity, finding.path) == (WARNING, format_path(path))
    assert hint in finding.text
    assert checked.configuration is not None


@pytest.mark.parametrize(
    "path",
    [
        (*SERVICE, "engine", "slots"),
        (*SERVICE, "engine", "kv_capacity"),
        (*SERVICE, "max_connections"),
    ],
)
@pytest.mark.parametrize(("value", "n_findings"), [(0, 1), (0.9, 1), (1, 0)])
def test_limit_below_one_is_reported(path, value, n_findings):
    """Guards against zero slots, which the decoder raises to 1."""
    document = make_document()
    change_document(document, path, value)
    text = f"warning: {format_path(path)}: {value} is below 1 and counts as 1"
    assert list_findings(document) == [text] * n_findings


def test_replaced_service_is_reported():
    """Guards against a service whose values a later one of its name replaces."""
    document = make_document()
    document["services"].append({"name": "assistant"})
    (line,) = list_findings(document)
    assert line.startswith(
        "warning: $.services[0].name: service 'assistant' is replaced"
    )


def test_paths_of_a_configuration_are_those_of_the_document():
    """Guards against findings that name a field which the document does not have."""
    checked = check(make_document())
    paths = checked.paths
    structs = {
        "routes": (RouteDocument, Route, 0),
        "services": (ServiceDocument, Service, "trial"),
        "limits": (LimitsDocument, CallerLimits, None),
        "workspaces": (TenantDocument, Workspace, 1),
    }
    for section, (document_type, decoded_type, key) in structs.items():
        # The time after which callers disconnect is derived from two other fields.
        for field in set(decoded_type._fields) - {"caller_idle_timeout_s"}:
            name = paths.locate(section, key, field).rpartition(".")[2]
            assert name in document_type.__struct_fields__
    for section in Configuration._fields:
        name = paths.locate(section).removeprefix("$.")
        assert name in ConfigurationDocument.__struct_fields__
    assert paths.locate("services", "trial", "cold_rate") == "$.services[1].cold_per_s"
    assert paths.locate("routes", 1, "targets", 0) == "$.routes[1].service"
    place = paths.locate("routes", 0, "targets", 1)
    assert place == "$.routes[0].traffic_split[1].service"
    assert paths.locate("workspaces", 1, "keys", 0) == "$.tenants[1].api_keys[0]"


def test_no_finding_contains_a_key():
    """Guards against secrets in output that is pasted into tickets."""
    document = make_document()
    document["tenants"][1]["api_keys"] += [KEY, KEY + " ", 5]
    document["tenants"][0]["name"] = 7
    assert KEY not in "".join(list_findings(document))
    document["tenants"][1]["api_keys"].pop()
    document["tenants"][0]["name"] = "a"
    checked = check(document)
    old = check(make_document(tenants=[]))
    in_force = ConfigurationView(old.configuration, old.paths)
    findings = check_configuration(
        checked.configuration, checked.paths, in_force=in_force
    )
    assert len(findings) > 3
    assert KEY not in "".join(finding.describe() for finding in findings)


def test_configuration_is_that_of_the_decoder():
    """Guards against checks of another configuration than the forwarders would use."""
    content = encode_document(make_document())
    decoded = PlatformDecoder().decode(Item("op/config", content, 1))
    assert check_document(content).configuration == decoded.configuration


def test_unusable_content_is_no_document():
    """Guards against a result for content that is not JSON."""
    with pytest.raises(UnusableError):
        check_document(b"{")
