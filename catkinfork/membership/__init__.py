"""Which peers are live, and rendezvous ranking."""

from catkinfork.membership._peers import Peer, PeerTable, ReplaceLink
from catkinfork.membership._ranking import rank_candidates

__all__ = ["Peer", "PeerTable", "ReplaceLink", "rank_candidates"]
