"""Parsing of settings files and reporting of their faults."""

import pytest

from catkinfork.settings import (
    CONSTRAINTS,
    AgentSettings,
    RouterSettings,
    read_settings,
)

ROUTER = """
[fleet]
address = 127.0.0.1:7000
data_centre = gasabo
key_file = /run/fleet.keys
seeds = 127.0.0.1:7001, 127.0.0.1:7002
[platform]
configuration_url = http://127.0.0.1:9000
environment = production
hosts_url = http://127.0.0.1:9001/v1/hosts
[admin]
bind = 127.0.0.1:7100
[gateway]
bind = 127.0.0.1:8080
[routing]
max_attempts = 4
"""


def read(tmp_path, text, settings_type=RouterSettings):
    path = tmp_path / "router.ini"
    path.write_text(text)
    return read_settings(path, settings_type)


def test_valid_file_is_read_with_defaults(tmp_path):
    """Guards against losing a default or a value of the file."""
    settings = read(tmp_path, ROUTER).ok_value
    assert settings.fleet.seeds == ("127.0.0.1:7001", "127.0.0.1:7002")
    assert settings.routing.max_attempts == 4
    assert settings.routing.retry_ratio == 0.1
    assert settings.log.format == "plain"


def test_all_faults_are_listed_at_once(tmp_path):
    """Guards against reporting only the first fault of a file."""
    text = ROUTER.replace("max_attempts = 4", "max_attempts = 99\nretries = 1")
    text = text.replace("environment = production\n", "") + "[extra]\na = 1\n"
    faults = read(tmp_path, text).err_value
    found = {(fault.section, fault.key, fault.value) for fault in faults}
    assert found == {
        ("routing", "max_attempts", "99"),
        ("routing", "retries", "1"),
        ("platform", "environment", ""),
        ("extra", "", "extra"),
    }
    described = [fault.describe() for fault in faults]
    assert "[routing] max_attempts: '99' is not allowed, expected 1 to 10" in described


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("address = 127.0.0.1:7000", "address = localhost:7000"),
        ("address = 127.0.0.1:7000", "address = 127.0.0.1:70000"),
        ("address = 127.0.0.1:7000", "address ="),
        ("seeds = 127.0.0.1:7001, 127.0.0.1:7002", "seeds = 127.0.0.1"),
        ("max_attempts = 4", "max_attempts = four"),
        ("max_attempts = 4", "max_attempts = 1.5"),
        ("max_attempts = 4", "retry_ratio = nan"),
        ("max_attempts = 4", "drain_timeout_s = inf"),
        ("http://127.0.0.1:9000", "ftp://127.0.0.1:9000"),
        ("data_centre = gasabo", "data_centre = gas abo"),
    ],
)
def test_values_out_of_range_are_refused(tmp_path, old, new):
    """Guards against accepting a value that fails only when it is used."""
    faults = read(tmp_path, ROUTER.replace(old, new)).err_value
    assert len(faults) == 1


@pytest.mark.parametrize("text", ["no section", "[fleet\n", "[a]\nx=1\n[a]\nx=2\n"])
def test_malformed_files_are_refused(tmp_path, text):
    """Guards against raising an exception instead of returning a fault."""
    assert read(tmp_path, text).is_err()


def test_unreadable_file_is_refused(tmp_path):
    """Guards against treating a missing file as an empty one."""
    (fault,) = read_settings(tmp_path / "missing.ini", RouterSettings).err_value
    assert "missing.ini" in fault.value


def test_every_setting_has_a_range():
    """Guards against adding a setting without a constraint on its value."""
    for settings_type in (RouterSettings, AgentSettings):
        for section, section_type in settings_type.__annotations__.items():
            for key in section_type.__annotations__:
                assert (section, key) in CONSTRAINTS
