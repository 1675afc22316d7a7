"""Liveness of peers by heartbeats, and the replacement of silent links."""

from typing import NamedTuple

from catkinfork.protocol import BaseCore, Heartbeat, HeartbeatAck, Send

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
FORGET_AFTER_S = 30.0


class ReplaceLink(NamedTuple):
    """Action: close the connection to a peer and open a new one."""

    destination: str


class Peer:
    """What is known of one peer.

    :param address: inner address of the peer.
    :param now: time at which it was added, monotonic seconds.
    """

    def __init__(self, address, now):
        self.address = address
        self.added_at = now
        self.heard_at = None
        self.acked_at = None
        self.replaced_at = now
        self.role = ""
        self.data_centre = ""
        self.is_leaving = False
        self.incarnation = 0
        self.version = 0
        self.digest = ""


class PeerTable(BaseCore):
    """Heartbeats to wanted peers, and which of them are live.

    :param role: role of this process.
    :param data_centre: data centre of this process.
    """

    def __init__(self, role, data_centre):
        self.role = role
        self.data_centre = data_centre
        self.is_leaving = False
        self.peers = {}
        self.wanted = set()
        self.sequence = 0
        self.next_heartbeat_at = 0.0

    def want(self, addresses, now):
        """Set the peers to probe, in place of those set before.

        :param addresses: iterable of inner addresses.
        :param now: monotonic time in seconds.
        """
        self.wanted = set(addresses)
        for address in self.wanted:
            self.peers.setdefault(address, Peer(address, now))

    def hear(self, sender, now):
        """Note that a message from a peer has arrived."""
        peer = self.peers.get(sender.name)
        if peer is None:
            peer = self.peers[sender.name] = Peer(sender.name, now)
        peer.heard_at = now
        peer.incarnation = sender.incarnation
        peer.version = sender.version
        peer.digest = sender.digest

    def handle(self, sender, message, now):
        self.hear(sender, now)
        if isinstance(message, Heartbeat):
            self.note_state(sender, message)
            ack = HeartbeatAck(
                message.sequence, self.role, self.data_centre, self.is_leaving
            )
            return [Send(sender.name, ack)]
        if isinstance(message, HeartbeatAck):
            self.note_state(sender, message)
            self.peers[sender.name].acked_at = now
        return []

    def note_state(self, sender, message):
        """Store role, data centre and draining state of a peer."""
        peer = self.peers[sender.name]
        peer.role = message.role
        peer.data_centre = message.data_centre
        peer.is_leaving = message.leaving

    def tick(self, now):
        if now < self.next_heartbeat_at:
            return []
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
        self.sequence += 1
        probe = Heartbeat(self.sequence, self.role, self.data_centre, self.is_leaving)
        actions = [ReplaceLink(address) for address in self.find_silent(now)]
        actions += [Send(address, probe) for address in sorted(self.find_probed(now))]
        self.forget(now)
        return actions

    def find_probed(self, now):
        """Return wanted peers and those heard from lately."""
        heard = {
            address
            for address, peer in self.peers.items()
            if peer.heard_at is not None and now - peer.heard_at < SILENCE_TIMEOUT_S
        }
        return self.wanted | heard

    def find_silent(self, now):
        """Return peers whose link is to be replaced: probed, but not answering."""
        silent = []
        for address in sorted(self.find_probed(now)):
            peer = self.peers[address]
            last = max(peer.acked_at or 0.0, peer.replaced_at)
            if now - last >= SILENCE_TIMEOUT_S:
                peer.replaced_at = now
                silent.append(address)
        return silent

    def forget(self, now):
        """Drop peers that are not wanted and have been silent for long."""
        for address in list(self.peers):
            peer = self.peers[address]
            last = peer.heard_at if peer.heard_at is not None else peer.added_at
            if address not in self.wanted and now - last > FORGET_AFTER_S:
                del self.peers[address]

    def is_live(self, address, now):
        """Return whether a peer has answered within the silence timeout.

        A peer that was added less than the timeout ago counts as live until then.
        """
        peer = self.peers.get(address)
        if peer is None:
            return False
        if peer.heard_at is None:
            return now - peer.added_at < SILENCE_TIMEOUT_S
        return now - peer.heard_at < SILENCE_TIMEOUT_S
