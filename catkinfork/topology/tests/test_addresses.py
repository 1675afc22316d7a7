"""Tests of address parsing."""

import pytest

from catkinfork.topology import split_address


def test_address_is_split_into_host_and_port():
    """Guards against splitting an IPv6 address at the wrong colon."""
    assert split_address("10.0.0.1:80") == ("10.0.0.1", 80)
    assert split_address("[::1]:8080") == ("[::1]", 8080)
    assert split_address("127.0.0.1:0", min_port=0) == ("127.0.0.1", 0)


@pytest.mark.parametrize("address", ["", "host", ":80", "h:", "h:x", "h:0", "h:65536"])
def test_invalid_address_is_rejected(address):
    """Guards against accepting an entry without a usable address."""
    with pytest.raises(ValueError, match="expected host:port"):
        split_address(address)
