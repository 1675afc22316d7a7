"""Addresses of the form ``host:port``."""

MAX_PORT = 65535


def split_address(address, min_port=1):
    """Return host and port of an address.

    :param min_port: 0 where a listener may choose any free port.
    :raises ValueError: if it is not ``host:port`` with a port up to 65535.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not min_port <= int(port) <= MAX_PORT:
        raise ValueError(f"address {address!r} is not allowed, expected host:port")
    return host, int(port)
