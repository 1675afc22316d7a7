"""Isolation of the platform adapter, and the template of its settings."""

import re
from pathlib import Path

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


def test_settings_template_is_valid(tmp_path):
    """Guards against a template that yields invalid settings."""
    values = {
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
    text = re.sub(
        r"\{\{([^}]+)\}\}", lambda match: values[match[1]], TEMPLATE.read_text()
    )
    path = tmp_path / "settings.ini"
    path.write_text(text)
    settings = read_settings(path, ForwarderSettings).unwrap()
    assert settings.peers.seeds == ("10.1.0.33:8785", "10.2.0.18:8785")
    assert settings.balancing.n_repeat_slack == 52
