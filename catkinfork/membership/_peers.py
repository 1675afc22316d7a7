"""Peer liveness by heartbeats, and replacement of silent connections."""

from typing import NamedTuple

from catkinfork.protocol import BaseCore, Heartbeat, Send

HEARTBEAT_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
# A silent connection must be replaced within 2 s. The last echo may be up to one
# heartbeat interval old when it goes silent, so this timeout plus the interval stays
# below 2 s.
ECHO_TIMEOUT_S = 1.25
PEER_RETENTION_S = 30.0
ACTIVITY_TIMEOUT_S = 5.0
PAUSE_THRESHOLD_S = 0.75
CHECK_INTERVAL_S = 0.1
PROBING_TIMEOUT_S = 1.5 * HEARTBEAT_INTERVAL_S


class ReplaceConnection(NamedTuple):
    """Action: close the connection to a peer and open a new one."""

    destination: str


class Peer:
    """Liveness state of one peer.

    :param address: internal address of the peer.
    :param now: time at which it was added, monotonic seconds.
    """

    def __init__(self, address, now):
        self.address = address
        self.added_at = now
        self.last_heard_at = None
        self.active_at = None
        self.probed_at = None
        self.acked_sequence = 0
        self.acked_at = None
        self.received_sequence = 0
        self.probing_since = None
        self.replaced_at = now
        self.role = ""
        self.data_centre = ""
        self.is_leaving = False
        self.incarnation = 0
        self.version = 0
        self.digest = ""


class PeerTable(BaseCore):
    """Sends heartbeats to peers and tracks which of them are live.

    :param role: role of this process.
    :param data_centre: data centre of this process.
    """

    def __init__(self, role, data_centre):
        self.role = role
        self.data_centre = data_centre
        self.is_leaving = False
        self.peers = {}
        self.probe_targets = set()
        self.sequence = 0
        self.next_heartbeat_at = 0.0
        self.next_check_at = 0.0
        self.ticked_at = None

    def set_probe_targets(self, addresses, now):
        """Set the peers to probe, replacing the previous set.

        :param addresses: iterable of internal addresses.
        :param now: monotonic time in seconds.
        """
        self.probe_targets = set(addresses)
        for address in self.probe_targets:
            self.peers.setdefault(address, Peer(address, now))

    def record_message(self, sender, now):
        """Record that a message other than a heartbeat has arrived from a peer."""
        self.record_sender(sender, now).active_at = now

    def record_sender(self, sender, now):
        """Record the sender of a message and return its :class:`Peer`."""
        peer = self.peers.get(sender.name)
        if peer is None:
            peer = self.peers[sender.name] = Peer(sender.name, now)
        peer.last_heard_at = now
        if sender.incarnation != peer.incarnation:
            # A new incarnation numbers its probes from 1 and has received none of ours.
            peer.received_sequence = 0
        peer.incarnation = sender.incarnation
        peer.version = sender.version
        peer.digest = sender.digest
        return peer

    def handle(self, sender, message, now):
        peer = self.record_sender(sender, now)
        if isinstance(message, Heartbeat):
            self.handle_heartbeat(peer, message, now)
        return []

    def handle_heartbeat(self, peer, message, now):
        """Process a heartbeat and the acknowledgement of our probes that it carries."""
        peer.role = message.role
        peer.data_centre = message.data_centre
        peer.is_leaving = message.leaving
        peer.received_sequence = max(peer.received_sequence, message.sequence)
        if message.is_wanted:
            peer.probed_at = now
        if message.echo > peer.acked_sequence:
            peer.acked_sequence = message.echo
            peer.acked_at = now

    def tick(self, now):
        self.compensate_pause(now)
        if now < self.next_check_at:
            return []
        self.next_check_at = now + CHECK_INTERVAL_S
        needed = self.list_needed(now)
        probed = sorted(needed | self.list_probing(now))
        self.reset_unprobed(set(probed))
        probing = {name for name in probed if self.is_probing(name, now)}
        watched = sorted(needed | probing)
        actions = [
            ReplaceConnection(address) for address in self.mark_silent(watched, now)
        ]
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self.sequence += 1
            actions += [self.build_probe(name, name in needed) for name in probed]
            self.remove_expired(now)
        return actions

    def build_probe(self, address, is_wanted):
        """Return the action that probes a peer."""
        probe = Heartbeat(
            self.sequence,
            self.role,
            self.data_centre,
            self.is_leaving,
            is_wanted,
            self.peers[address].received_sequence,
        )
        return Send(address, probe)

    def list_needed(self, now):
        """Return probe targets and peers that have recently sent other messages."""
        active = {
            address
            for address, peer in self.peers.items()
            if peer.active_at is not None and now - peer.active_at < ACTIVITY_TIMEOUT_S
        }
        return self.probe_targets | active

    def list_probing(self, now):
        """Return peers that probe this process because they need the connection.

        They are probed in return: only a sender whose own probes go unanswered can
        detect that its outgoing connection has gone silent.
        """
        return {
            address
            for address, peer in self.peers.items()
            if peer.probed_at is not None and now - peer.probed_at < SILENCE_TIMEOUT_S
        }

    def is_probing(self, address, now):
        """Return whether a peer has probed this process recently.

        A peer that has stopped probing no longer sends echoes, which does not mean that
        its connection has gone silent.
        """
        probed_at = self.peers[address].probed_at
        return probed_at is not None and now - probed_at < PROBING_TIMEOUT_S

    def mark_silent(self, watched, now):
        """Return watched peers whose echo timed out, and record the replacement."""
        silent = []
        for address in watched:
            peer = self.peers[address]
            if peer.probing_since is None:
                peer.probing_since = now
            last = max(peer.acked_at or 0.0, peer.probing_since, peer.replaced_at)
            if now - last >= ECHO_TIMEOUT_S:
                peer.replaced_at = now
                silent.append(address)
        return silent

    def reset_unprobed(self, probed):
        """Clear the start of probing of peers that are no longer probed."""
        for address in self.peers.keys() - probed:
            self.peers[address].probing_since = None

    def compensate_pause(self, now):
        """Shift the timestamps of all peers if this process itself was paused.

        Otherwise a process that resumes after a pause would consider every peer dead.
        """
        pause_s = now - self.ticked_at if self.ticked_at is not None else 0.0
        self.ticked_at = now
        if pause_s < PAUSE_THRESHOLD_S:
            return
        for peer in self.peers.values():
            if peer.last_heard_at is not None:
                peer.last_heard_at = min(now, peer.last_heard_at + pause_s)
            if peer.acked_at is not None:
                peer.acked_at = min(now, peer.acked_at + pause_s)

    def remove_expired(self, now):
        """Remove unwanted peers that have been silent for the retention time."""
        for address in list(self.peers):
            peer = self.peers[address]
            last = (
                peer.last_heard_at if peer.last_heard_at is not None else peer.added_at
            )
            if address not in self.probe_targets and now - last > PEER_RETENTION_S:
                del self.peers[address]

    def is_live(self, address, now):
        """Return whether a peer was heard from within the silence timeout.

        A newly added peer counts as live until the timeout has passed.
        """
        peer = self.peers.get(address)
        if peer is None:
            return False
        if peer.last_heard_at is None:
            return now - peer.added_at < SILENCE_TIMEOUT_S
        return now - peer.last_heard_at < SILENCE_TIMEOUT_S
