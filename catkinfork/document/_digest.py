"""Digest by which documents of one version are told apart."""

from hashlib import sha256

# Every inner message carries the digest, so that each byte counts. 64 bits tell the
# documents of one environment apart; they do not protect against forgery, which the
# fleet key does.
DIGEST_CHARACTERS = 16


def compute_digest(content):
    """Return the digest of a document.

    :param content: bytes of the document.
    :returns: the first 16 hex digits of their SHA-256.
    """
    return sha256(content).hexdigest()[:DIGEST_CHARACTERS]
