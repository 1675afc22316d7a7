"""Addresses of backend servers and listeners."""

import pytest

from catkinfork.topology import split_address


def test_host_and_port():
    """Guards against an address that is split at the wrong place."""
    assert split_address("10.0.0.1:80") == ("10.0.0.1", 80)
    assert split_address("[::1]:8080") == ("[::1]", 8080)
    assert split_address("127.0.0.1:0", min_port=0) == ("127.0.0.1", 0)


@pytest.mark.parametrize("address", ["", "host", ":80", "h:", "h:x", "h:0", "h:65536"])
def test_wrong_address(address):
    """Guards against an entry without a usable address."""
    with pytest.raises(ValueError, match="expected host:port"):
        split_address(address)
