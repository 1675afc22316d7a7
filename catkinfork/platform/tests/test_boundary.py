"""Isolation of the platform adapter, and the template of its settings."""

import re
from pathlib import Path

import pytest

from catkinfork.settings import ForwarderSettings, read_settings

PACKAGE = Path(__file__).parents[2]
ROOT = PACKAGE.parent
FOLDER = PACKAGE / "platform"
TEMPLATE = ROOT / "deploy" / "forwarder.ini.template"
PLATFORM_WORDS = re.compile(
    r"x-catkinfork|kv-(range|watch|key)|current_rev|catkinfork_boot|op/config"
    r"|servers/|traffic_split|gap_target_ms|cold_remaining_ms|api_keys|more_pages"
    r"|kv_capacity|readyz",
    re.IGNORECASE,
)


def list_sources(folder):
    """Return the source files of a folder, except tests."""
    return [path for path in folder.rglob("*.py") if "tests" not in path.parts]


def test_platform_names_stay_in_adapter():
    """Guards against platform names in code outside the adapter."""
    found = [
        f"{path.relative_to(ROOT)}: {match[0]}"
        for path in list_sources(PACKAGE)
        if FOLDER not in path.parents
        for match in PLATFORM_WORDS.finditer(path.read_text())
    ]
    assert found == []


def test_adapter_is_small():
    """Guards against routing logic in the adapter, by its share of the source lines."""
    n_adapter = sum(len(path.read_text().splitlines()) for path in list_sources(FOLDER))
    n_all = sum(len(path.read_text().splitlines()) for path in list_sources(PACKAGE))
    assert n_adapter < n_all / 6


VALUES = {
    "node_name": "edge-gasabo-1",
    "listen_addrs.front": "10.1.0.33:8783",
    "listen_addrs.ready": "10.1.0.33:8780",
    "listen_addrs.control": "10.1.0.33:8785",
    "zone": "gasabo",
    "bounds.grace_s": "8",
    "bounds.quota_window_s": "4",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "52",
    "bounds.retry_window_s": "10",
    "internal_ports.0": "7400",
    "seeds": "10.1.0.33:8785,10.2.0.18:8785",
    "platform.address": "10.200.1.7:8781",
}
BOUNDS = sorted(name for name in VALUES if name.startswith("bounds."))


def read_template(tmp_path, **changes):
    """Read the template with the given values in place of the usual ones."""
    values = VALUES | {name.replace("__", "."): text for name, text in changes.items()}
    text = re.sub(
        r"\{\{([^}]+)\}\}", lambda match: values[match[1]], TEMPLATE.read_text()
    )
    path = tmp_path / "settings.ini"
    path.write_text(text)
    return read_settings(path, ForwarderSettings)


def test_settings_template_is_valid(tmp_path):
    """Guards against a template that yields invalid settings."""
    settings = read_template(tmp_path).unwrap()
    assert settings.peers.seeds == ("10.1.0.33:8785", "10.2.0.18:8785")
    assert settings.balancing.n_repeat_slack == 52


@pytest.mark.parametrize("bound", BOUNDS)
@pytest.mark.parametrize("text", ["38.2608695652174", "1", "", "3600", "1e3"])
def test_forwarder_starts_with_any_form_of_a_bound(tmp_path, bound, text):
    """Guards against a forwarder that does not start for the form of a bound.

    The bounds of a scaled deployment are fractions.
    """
    result = read_template(tmp_path, **{bound: text})
    assert result.is_ok(), [fault.describe() for fault in result.err()]


@pytest.mark.parametrize("bound", ["bounds.retry_ratio", "bounds.retry_slack"])
def test_retry_bounds_may_be_zero(tmp_path, bound):
    """Guards against a deployment without retries that does not start."""
    assert read_template(tmp_path, **{bound: "0"}).is_ok()


@pytest.mark.parametrize("bound", BOUNDS)
@pytest.mark.parametrize("text", ["-1", "nan", "inf", "ten", "1e30"])
def test_bound_out_of_range_is_named(tmp_path, bound, text):
    """Guards against a figure without meaning that is put in force, or not named."""
    (fault,) = read_template(tmp_path, **{bound: text}).unwrap_err()
    assert fault.value == text
    assert fault.allowed
