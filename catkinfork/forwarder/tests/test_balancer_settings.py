"""Settings of the balancer that are read from the settings file."""

import pytest

from catkinfork.forwarder._process import build_balancer_settings
from catkinfork.settings import ForwarderSettings, read_settings

FORWARDER = """
[forwarder]
name = edge-1
address = 127.0.0.1:8080
ready_address = 127.0.0.1:8081
control_address = 127.0.0.1:8082
metrics_port = 8083
data_centre = gasabo
[peers]
port = 7100
seeds = 127.0.0.1:7100
[store]
address = 127.0.0.1:7200
[balancing]
share_window_s = 4
"""


def read(tmp_path, line):
    """Return the result of reading a file with a line added to its last section."""
    path = tmp_path / "forwarder.ini"
    path.write_text(FORWARDER + line)
    return read_settings(path, ForwarderSettings)


@pytest.mark.parametrize(
    ("line", "expected"),
    [("", False), ("on_time_first = 0", False), ("on_time_first = 1", True)],
)
def test_order_is_selected_by_the_settings_file(tmp_path, line, expected):
    """Guards against a setting that has no effect, or one that is on by default."""
    settings = read(tmp_path, line).ok_value
    assert build_balancer_settings(settings).on_time_first is expected


@pytest.mark.parametrize("value", ["2", "-1", "yes"])
def test_odd_value_of_the_order_is_refused(tmp_path, value):
    """Guards against a mistyped value that switches the order on."""
    assert read(tmp_path, f"on_time_first = {value}").is_err()
