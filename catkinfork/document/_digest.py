"""Digest that distinguishes documents of the same version."""

from hashlib import sha256

# Every internal message carries the digest, so it is short. 64 bits distinguish the
# documents of one environment; they do not protect against forgery, which is the
# purpose of the fleet key.
DIGEST_CHARACTERS = 16


def compute_digest(content):
    """Return the digest of a document.

    :param content: bytes of the document.
    :returns: the first 16 hex digits of its SHA-256.
    """
    return sha256(content).hexdigest()[:DIGEST_CHARACTERS]
