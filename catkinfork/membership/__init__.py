"""Peer liveness, rendezvous hashing and the choice of dispatchers."""

from catkinfork.membership._dispatchers import DispatcherChoice, choose_dispatchers
from catkinfork.membership._peers import Peer, PeerTable, ReplaceConnection
from catkinfork.membership._ranking import rank_candidates

__all__ = [
    "DispatcherChoice",
    "Peer",
    "PeerTable",
    "ReplaceConnection",
    "choose_dispatchers",
    "rank_candidates",
]
