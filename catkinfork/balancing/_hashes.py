"""Short hashes that represent names in the state exchange."""

from hashlib import blake2b


def hash_name(name):
    """Return the 32-bit hash of a name."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")
