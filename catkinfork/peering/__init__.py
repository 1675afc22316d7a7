"""Soft state shared between forwarders: liveness, loads, fair shares and budgets."""

from catkinfork.peering._events import EVENTS
from catkinfork.peering._frames import Frame, decode_frame, encode_frame
from catkinfork.peering._handover import HandoverPlan
from catkinfork.peering._joining import JoinPlan
from catkinfork.peering._peers import PeerDirectory
from catkinfork.peering._snapshots import SnapshotExchange, decode_snapshot
from catkinfork.peering._socket import PeerSocket
from catkinfork.peering._state import PeerExchange

__all__ = [
    "EVENTS",
    "Frame",
    "HandoverPlan",
    "JoinPlan",
    "PeerDirectory",
    "PeerExchange",
    "PeerSocket",
    "SnapshotExchange",
    "decode_frame",
    "decode_snapshot",
    "encode_frame",
]
