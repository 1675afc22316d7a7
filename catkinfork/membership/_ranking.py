"""Rendezvous hashing: ranks candidates the same way in all processes."""

from hashlib import blake2b

SCORE_BYTES = 8


def score_candidate(key, candidate):
    """Return the rendezvous score of a candidate for a key.

    :param key: hash of the key, at most 64 bytes are used.
    :param candidate: name of the candidate.
    :returns: 8 bytes; the greatest score ranks first.
    """
    return blake2b(candidate.encode(), key=key[:64], digest_size=SCORE_BYTES).digest()


def rank_candidates(key, candidates):
    """Rank candidates for a key by rendezvous hashing.

    :param key: text that identifies the object to place.
    :param candidates: iterable of distinct names.
    :returns: list of names, first choice first; the same for any input order.
    """
    hashed = blake2b(key.encode(), digest_size=32).digest()
    return sorted(
        candidates,
        key=lambda name: (score_candidate(hashed, name), name),
        reverse=True,
    )
