"""Consistency of ``docs/refusals.md`` with the refusals in the code."""

import json
import re
from pathlib import Path

from catkinfork.execution import _codes
from catkinfork.gateway import _refusals, _requests, encode_refusal
from catkinfork.routing import NOT_RUN, ROUTER_CODES, UNKNOWN, Refusal
from catkinfork.routing._refusals import build_agent_refusal

PAGE = (Path(__file__).parents[3] / "docs" / "refusals.md").read_text()
# Always sent with a redirect, which the router follows; callers never receive it.
INTERNAL_CODES = {"key_released"}


def parse_page():
    """Return the pairs of status and outcome of each code, by heading."""
    tables = {}
    for section in PAGE.split("\n## ")[1:]:
        rows = re.findall(r"^\| `(\w+)` \| (\d[^|]+) \|", section, re.MULTILINE)
        pairs = {
            code: {
                (int(status), outcome)
                for status, outcome in re.findall(r"(\d+) `(\w+)`", cell)
            }
            for code, cell in rows
        }
        assert len(pairs) == len(rows), "a code has two rows"
        tables[section.splitlines()[0]] = pairs
    return tables


def list_gateway_refusals():
    """Return the pairs of status and outcome of each code of the gateway."""
    entries = [item for item in vars(_refusals).values() if isinstance(item, Refusal)]
    entries.append(_refusals.refuse_large_body(1))
    entries.append(_refusals.refuse_large_header(1))
    source = Path(_requests.__file__).read_text()
    for code in re.findall(r'refuse_bad_request\(\s*"(\w+)"', source):
        entries.append(_refusals.refuse_bad_request(code, ""))
    return {entry.code: {(entry.status, entry.outcome)} for entry in entries}


def test_page_lists_every_code_with_its_status():
    """Guards against a code, status or outcome that the page does not document."""
    tables = parse_page()
    assert tables["By the port for callers"] == list_gateway_refusals()
    router = tables["By the router"]
    statuses = {code: {status for status, _ in router[code]} for code in router}
    assert statuses == {entry.code: {entry.status} for entry in ROUTER_CODES}
    codes = {value for name, value in vars(_codes).items() if name.isupper()}
    agent = tables["By the agent"] | tables["After many starts that were refused"]
    assert set(agent) == codes - {NOT_RUN, UNKNOWN} - set(router) - INTERNAL_CODES
    for code, pairs in agent.items():
        assert pairs
        for status, outcome in pairs:
            assert build_agent_refusal(code, outcome, "").status == status, code


def test_example_has_the_form_of_a_refusal():
    """Guards against an example that differs from an actual refusal."""
    [text] = re.findall(r"```json\n(.*?)```", PAGE, re.DOTALL)
    error = json.loads(text)["error"]
    [entry] = [entry for entry in ROUTER_CODES if entry.code == error["code"]]
    message = f"{entry.text} (200 of 200)"
    refusal = Refusal(entry.code, entry.status, NOT_RUN, 7.5, message)
    body = json.loads(encode_refusal(refusal, error["request_id"]))
    assert body["error"] == error
