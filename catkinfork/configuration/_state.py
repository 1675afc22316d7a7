"""The document in force and its propagation between processes."""

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
# Replies hold up to 1 MB each. Without this bound a process that falls behind would ask
# every peer at once and receive the same document from each of them.
REQUEST_SPACING_S = 0.2
# Documents that were refused are remembered, so that a service that keeps offering one
# costs neither parsing nor log lines.
MAX_REFUSED_DOCUMENTS = 64


class AdoptDocument(NamedTuple):
    """Action: the document in force has changed.

    :param view: :class:`DocumentView` of the new document.
    """

    view: DocumentView


class ConfigurationState(BaseCore):
    """Which document is in force; it is replaced only by a greater identity.

    :param environment: name of the environment whose documents are adopted.
    """

    def __init__(self, environment):
        self.environment = environment
        self.view = None
        self.has_conflict = False
        self.is_answered = False
        self.refused = {}
        self.requested_at = {}
        self.next_request_at = 0.0

    @property
    def identity(self):
        """Pair of version and digest in force, ``(0, "")`` for none."""
        return self.view.identity if self.view is not None else (0, "")

    def offer(self, content, source, now):
        """Take the bytes of a document and adopt it if it is valid and greater.

        :param content: bytes as received.
        :param source: where they come from, for the log.
        :param now: monotonic time in seconds.
        :returns: list of actions, with :class:`AdoptDocument` if it is adopted.
        """
        self.is_answered = True
        digest = compute_digest(content)
        if digest == self.identity[1] or digest in self.refused:
            return []
        parsed = parse_document(content)
        if parsed.is_err():
            return self.reject(digest, source, parsed.err())
        view = parsed.ok()
        if view.document.environment != self.environment:
            detail = f'"{view.document.environment}" is not allowed, expected '
            fault = DocumentFault("environment", f'{detail}"{self.environment}"')
            return self.reject(digest, source, [fault])
        if view.identity < self.identity:
            return self.ignore(view, source)
        return self.adopt(view, source)

    def reject(self, digest, source, faults):
        """Remember a document with faults and log it."""
        self.remember(digest)
        event = log_event(
            DOCUMENT_REJECTED,
            digest=digest,
            source=source,
            n_faults=len(faults),
            first_fault=faults[0].describe(),
        )
        return [event]

    def ignore(self, view, source):
        """Remember a document that is older than the one in force and log it."""
        self.remember(view.digest)
        if view.version == self.view.version:
            return self.note_conflict(view.digest, source)
        event = log_event(
            DOCUMENT_OLDER,
            version=view.version,
            digest=view.digest,
            in_force=self.view.version,
            source=source,
        )
        return [event]

    def adopt(self, view, source):
        """Put a document in force."""
        previous, _ = self.identity
        actions = []
        if view.version == previous:
            actions += self.note_conflict(view.digest, source)
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

    def note_conflict(self, other, source):
        """Log another document with the version in force, once for each version."""
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

    def remember(self, digest):
        """Remember a document that was not adopted, in place of the oldest one."""
        if len(self.refused) >= MAX_REFUSED_DOCUMENTS:
            del self.refused[next(iter(self.refused))]
        self.refused[digest] = True

    def hear(self, sender, now):
        """Take the version hint of an envelope; ask the sender if its own is greater.

        :param sender: :class:`Sender` of any message.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        theirs = (sender.version, sender.digest)
        if theirs <= self.identity:
            if sender.version == self.identity[0] and theirs != self.identity:
                return self.note_conflict(sender.digest, sender.name)
            return []
        if sender.digest in self.refused or now < self.next_request_at:
            return []
        last = self.requested_at.get(sender.name)
        if last is not None and now - last < REQUEST_INTERVAL_S:
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

    def ask(self, addresses):
        """Return requests to peers whose version is not known yet, for the start.

        :param addresses: inner addresses of seeds and routers.
        """
        request = DocumentRequest(*self.identity)
        return [Send(address, request) for address in addresses]

    def handle(self, sender, message, now):
        if isinstance(message, DocumentRequest):
            is_newer = self.identity > (message.version, message.digest)
            content = self.view.content if is_newer else b""
            return [Send(sender.name, DocumentReply(content))]
        if isinstance(message, DocumentReply):
            self.is_answered = True
            if message.content:
                return self.offer(message.content, sender.name, now)
        return []

    def tick(self, now):
        self.requested_at = {
            name: asked_at
            for name, asked_at in self.requested_at.items()
            if now - asked_at < REQUEST_INTERVAL_S
        }
        return []
