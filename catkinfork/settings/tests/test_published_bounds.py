"""Bounds as a deployment publishes them, in the template of its settings file."""

import re
from pathlib import Path

import pytest

from catkinfork.settings import ForwarderSettings, read_settings

TEMPLATE = Path(__file__).parents[3] / "deploy" / "forwarder.ini.template"
VALUES = {
    "node_name": "edge-1",
    "listen_addrs.front": "127.0.0.1:8000",
    "listen_addrs.ready": "127.0.0.1:8001",
    "listen_addrs.control": "127.0.0.1:8002",
    "zone": "gasabo",
    "internal_ports.0": "8003",
    "seeds": "",
    "platform.address": "127.0.0.1:8004",
    "bounds.grace_s": "8.0",
    "bounds.quota_window_s": "4.0",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "20.0",
    "bounds.retry_window_s": "10.0",
}
WINDOWS = ("bounds.quota_window_s", "bounds.retry_window_s")
AMOUNTS = ("bounds.grace_s", "bounds.retry_ratio", "bounds.retry_slack")


def read(folder, **values):
    """Read the settings file that the template gives with some other values."""
    values = VALUES | values
    path = folder / "forwarder.ini"
    pattern = re.compile(r"\{\{(.*?)\}\}")
    path.write_text(pattern.sub(lambda m: values[m[1]], TEMPLATE.read_text()))
    return read_settings(path, ForwarderSettings)


@pytest.mark.parametrize("name", WINDOWS)
@pytest.mark.parametrize("value", ["0", "0.0", "-0.0", "-1", "0.001", "nan", "inf"])
def test_window_without_a_length_is_a_named_fault(tmp_path, name, value):
    """Guards against a window of no time, which no budget can be counted over."""
    (fault,) = read(tmp_path, **{name: value}).err_value
    assert fault.section == "balancing"
    assert fault.value == value
    assert fault.describe().endswith("expected 0.01 to 86400")


@pytest.mark.parametrize("name", AMOUNTS)
@pytest.mark.parametrize("value", ["-1", "-0.001", "nan", "inf", "null", "{{x}}"])
def test_amount_that_is_none_is_a_named_fault(tmp_path, name, value):
    """Guards against a start with a budget or a grace that is no amount."""
    (fault,) = read(tmp_path, **{name: value}).err_value
    assert fault.value == value


@pytest.mark.parametrize("name", WINDOWS + AMOUNTS)
@pytest.mark.parametrize("value", ["0.01", "0.5", "1", "8", "8.0", "38.26", "1e1"])
def test_whole_and_fractional_bounds_are_read(tmp_path, name, value):
    """Guards against a start that fails for the form of a published bound."""
    assert read(tmp_path, **{name: value}).is_ok()


@pytest.mark.parametrize("name", AMOUNTS)
@pytest.mark.parametrize("value", ["0", "0.0"])
def test_zero_is_an_amount(tmp_path, name, value):
    """Guards against a start that fails where no retries or no grace are allowed."""
    assert read(tmp_path, **{name: value}).is_ok()


@pytest.mark.parametrize("name", WINDOWS + AMOUNTS)
def test_absent_bound_has_its_default(tmp_path, name):
    """Guards against a start that fails for a bound that a deployment leaves out."""
    absent = read(tmp_path, **{name: ""}).ok_value
    assert absent.forwarder.grace_s == 8.0
    assert absent.balancing.share_window_s == 4.0
    assert absent.balancing.repeat_window_s == 10.0
