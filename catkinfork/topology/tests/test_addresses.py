"""Tests of address parsing."""

import pytest

from catkinfork.topology import split_address


def test_address_is_split_into_host_and_port():
    """Guards against splitting an IPv6 address at the wrong colon."""
    assert split_address("10.0.0.1:80") == ("10.0.0.1", 80)
    assert split_address("[::1]:8080") == ("[::1]", 8080)
    assert split_address("127.0.0.1:0", min_port=0) == ("127.0.0.1", 0)


@pytest.mark.parametrize(
    "host", ["h", "a-b.c_d", "x" * 63, "1a", "10.0.0.1", "[fe80::1]"]
)
def test_host_of_any_kind_is_accepted(host):
    """Guards against leaving out a backend server for the form of its address."""
    assert split_address(f"{host}:80") == (host, 80)


@pytest.mark.parametrize(
    "address",
    [
        *("", "host", ":80", "h:", "h:x", "h:0", "h:65536", "h:-1", "h:+1", "h: 1"),
        *("h:1 ", "h:1_0", "h:\u0661", "h:\u00b2", "h:" + "1" * 5000, "h:\n1", "h\n:1"),
        *(" h:1", "h h:1", "h\r\nx: 1:1", "h\0:1", "h/:1", "u@h:1", "\u00fc:1"),
        *("a..b:1", ".a:1", "-a:1", "x" * 64 + ":1", "a." * 127 + "a:1"),
        *("::1:1", "[::1:1", "[]:1", "[h]:1", "[10.0.0.1]:1", "10.0.0.300:1", "1.2:1"),
    ],
)
def test_invalid_address_is_rejected(address):
    """Guards against accepting an entry without a usable address."""
    with pytest.raises(ValueError, match="expected host:port"):
        split_address(address)
