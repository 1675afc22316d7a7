"""Addresses of the form ``host:port``."""

import re
from collections import Counter
from ipaddress import ip_address

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
MAX_HOST_LENGTH = 253
# Names whose last label is a number are IP addresses, or malformed ones.
HOST_NAME = re.compile(
    r"([a-z0-9_]([a-z0-9_-]{0,62})\.)*(?!\d+\Z)[a-z0-9_][a-z0-9_-]{0,62}",
    re.ASCII | re.IGNORECASE,
)


def split_address(address, min_port=1):
    """Return host and port of an address.

    :param min_port: 0 where a listener may choose any free port.
    :raises ValueError: if it is not ``host:port`` with a port up to 65535. The host is
        a name, an IPv4 address, or an IPv6 address in brackets.
    """
    host, _, port = address.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    if is_number and min_port <= int(port) <= MAX_PORT and is_host(host):
        return host, int(port)
    raise ValueError(f"address {address[:100]!r} is not allowed, expected host:port")


def find_shared(addresses):
    """Return the addresses that occur more than once.

    Such an address belongs to one of the servers that name it: one that is gone is
    listed until its entry expires.
    """
    if len(set(addresses)) == len(addresses):
        return frozenset()
    return frozenset(one for one, n in Counter(addresses).items() if n > 1)


def is_host(host):
    """Return whether a connection can be opened to a host of this form."""
    if len(host) > MAX_HOST_LENGTH:
        return False
    if host.startswith("[") and host.endswith("]"):
        return ":" in host and is_ip_address(host[1:-1])
    return ":" not in host and (
        is_ip_address(host) or HOST_NAME.fullmatch(host) is not None
    )


def is_ip_address(host):
    """Return whether a host is an IP address, without brackets."""
    try:
        ip_address(host)
    except ValueError:
        return False
    return True
