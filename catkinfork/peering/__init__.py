"""Soft state shared between forwarders: liveness, loads, fair shares and budgets."""

from catkinfork.peering._events import EVENTS
from catkinfork.peering._frames import Frame, decode_frame, encode_frame
from catkinfork.peering._peers import PeerDirectory
from catkinfork.peering._socket import PeerSocket
from catkinfork.peering._state import PeerExchange

__all__ = [
    "EVENTS",
    "Frame",
    "PeerDirectory",
    "PeerExchange",
    "PeerSocket",
    "decode_frame",
    "encode_frame",
]
