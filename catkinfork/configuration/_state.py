"""The document in force, and its propagation between processes."""

from typing import NamedTuple

from catkinfork.configuration._events import (
    DOCUMENT_ADOPTED,
    DOCUMENT_CONFLICT,
    DOCUMENT_OLDER,
    DOCUMENT_REJECTED,
    DOCUMENT_REQUESTED,
)
from catkinfork.document import (
    DocumentFault,
    DocumentView,
    compute_digest,
    parse_document,
)
from catkinfork.observability import log_event
from catkinfork.protocol import BaseCore, DocumentReply, DocumentRequest, Send

REQUEST_INTERVAL_S = 1.0
# Replies are up to 1 MB each. Without this limit an outdated process would send a
# request to every peer at once and receive the same document from each of them.
REQUEST_SPACING_S = 0.2
# The digests of documents that were not adopted are kept, so that a document that is
# received again is neither parsed nor logged.
MAX_SKIPPED_DIGESTS = 64


class AdoptDocument(NamedTuple):
    """Action: the document in force has changed.

    :param view: :class:`DocumentView` of the new document.
    """

    view: DocumentView


class ConfigurationState(BaseCore):
    """State machine that holds the document in force.

    A document is replaced only by one with a greater pair of version and digest.

    :param environment: name of the environment whose documents are adopted.
    """

    def __init__(self, environment):
        self.environment = environment
        self.view = None
        self.has_conflict = False
        self.has_reply = False
        self.skipped_digests = {}
        self.requested_at = {}
        self.next_request_at = 0.0

    @property
    def identity(self):
        """Pair of version and digest of the document in force, ``(0, "")`` if none."""
        return self.view.identity if self.view is not None else (0, "")

    def offer(self, content, source, now):
        """Handle the bytes of a document; adopt it if it is valid and has precedence.

        :param content: bytes as received.
        :param source: origin of the document, for the log.
        :param now: monotonic time in seconds.
        :returns: list of actions, with :class:`AdoptDocument` if it is adopted.
        """
        self.has_reply = True
        digest = compute_digest(content)
        if digest == self.identity[1] or digest in self.skipped_digests:
            return []
        parsed = parse_document(content)
        if parsed.is_err():
            return self.reject_document(digest, source, parsed.err())
        view = parsed.ok()
        if view.document.environment != self.environment:
            detail = f'"{view.document.environment}" is not allowed, expected '
            fault = DocumentFault("environment", f'{detail}"{self.environment}"')
            return self.reject_document(digest, source, [fault])
        if view.identity < self.identity:
            return self.ignore_older_document(view, source)
        return self.apply_document(view, source)

    def reject_document(self, digest, source, faults):
        """Record and log an invalid document."""
        self.record_skipped_digest(digest)
        event = log_event(
            DOCUMENT_REJECTED,
            digest=digest,
            source=source,
            n_faults=len(faults),
            first_fault=faults[0].describe(),
        )
        return [event]

    def ignore_older_document(self, view, source):
        """Record and log a document that is older than the one in force."""
        self.record_skipped_digest(view.digest)
        if view.version == self.view.version:
            return self.record_conflict(view.digest, source)
        event = log_event(
            DOCUMENT_OLDER,
            version=view.version,
            digest=view.digest,
            in_force=self.view.version,
            source=source,
        )
        return [event]

    def apply_document(self, view, source):
        """Put a document in force."""
        previous, _ = self.identity
        actions = []
        if view.version == previous:
            actions += self.record_conflict(view.digest, source)
        else:
            self.has_conflict = False
        self.view = view
        event = log_event(
            DOCUMENT_ADOPTED,
            version=view.version,
            digest=view.digest,
            previous_version=previous,
            source=source,
        )
        return [*actions, event, AdoptDocument(view)]

    def record_conflict(self, other, source):
        """Record another document with the version in force; log only the first one."""
        if self.has_conflict:
            return []
        self.has_conflict = True
        event = log_event(
            DOCUMENT_CONFLICT,
            version=self.view.version,
            in_force=self.view.digest,
            other=other,
            source=source,
        )
        return [event]

    def record_skipped_digest(self, digest):
        """Record the digest of a document that is not adopted; evict the oldest one."""
        if len(self.skipped_digests) >= MAX_SKIPPED_DIGESTS:
            del self.skipped_digests[next(iter(self.skipped_digests))]
        self.skipped_digests[digest] = True

    def hear(self, sender, now):
        """Handle the version hint of an envelope; request a newer document.

        :param sender: :class:`Sender` of any message.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        peer_identity = (sender.version, sender.digest)
        if peer_identity <= self.identity:
            if sender.version == self.identity[0] and peer_identity != self.identity:
                return self.record_conflict(sender.digest, sender.name)
            return []
        if sender.digest in self.skipped_digests or now < self.next_request_at:
            return []
        sent_at = self.requested_at.get(sender.name)
        if sent_at is not None and now - sent_at < REQUEST_INTERVAL_S:
            return []
        self.requested_at[sender.name] = now
        self.next_request_at = now + REQUEST_SPACING_S
        event = log_event(
            DOCUMENT_REQUESTED,
            peer=sender.name,
            version=sender.version,
            digest=sender.digest,
        )
        return [event, Send(sender.name, DocumentRequest(*self.identity))]

    def build_document_requests(self, addresses):
        """Return requests to peers whose version is not known yet, at start-up.

        :param addresses: internal addresses of seeds and routers.
        :returns: list of actions.
        """
        request = DocumentRequest(*self.identity)
        return [Send(address, request) for address in addresses]

    def handle(self, sender, message, now):
        if isinstance(message, DocumentRequest):
            is_newer = self.identity > (message.version, message.digest)
            content = self.view.content if is_newer else b""
            return [Send(sender.name, DocumentReply(content))]
        if isinstance(message, DocumentReply):
            self.has_reply = True
            if message.content:
                return self.offer(message.content, sender.name, now)
        return []

    def tick(self, now):
        self.requested_at = {
            name: sent_at
            for name, sent_at in self.requested_at.items()
            if now - sent_at < REQUEST_INTERVAL_S
        }
        return []
