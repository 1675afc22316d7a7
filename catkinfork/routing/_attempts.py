"""Live attempts with their progress, and attempts that ended recently."""

from collections import OrderedDict

from catkinfork.protocol import AttemptId, ResponseAck, Resume, check_invariant

ACK_INTERVAL_PARTS = 32
ACK_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
# Attempts at one agent often time out together; the link is replaced only once.
LINK_REPLACE_INTERVAL_S = 1.0
# Resumes are repeated, as one or its answer may be lost while keepalives arrive.
RESUME_INTERVAL_S = 1.0
# Number of unanswered resumes after which an attempt is aborted.
MAX_SILENCES = 3
MAX_ENDED_ATTEMPTS = 4096


class Attempt:
    """Attempt to run a request at an agent.

    :param start: :class:`Start`.
    :param entry: :class:`OpenRequest` that it runs.
    :param grant: :class:`GrantEntry` on which it runs.
    :param now: monotonic time in seconds.
    """

    def __init__(self, start, entry, grant, now):
        self.id = start.attempt
        self.start = start
        self.entry = entry
        self.agent = grant.agent
        self.agent_incarnation = grant.agent_incarnation
        self.backend_server = grant.backend_server
        self.started_at = now
        self.last_activity_at = now
        self.silence_timer_started_at = now
        self.has_activity = False
        self.n_silences = 0
        self.next_sequence = 0
        self.acked_sequence = 0
        self.acked_at = now
        self.resumed_sequence = -1
        self.resumed_at = now

    def record_activity(self, now):
        """Record that a message for this attempt has arrived from the agent."""
        self.last_activity_at = now
        self.silence_timer_started_at = now
        self.has_activity = True
        self.n_silences = 0

    def is_silent(self, now):
        """Return whether the last message, or else the start, is too long ago."""
        return now - self.last_activity_at >= SILENCE_TIMEOUT_S

    def is_ack_due(self, now):
        """Return whether an acknowledgement is due by number of parts or by time."""
        if self.next_sequence - self.acked_sequence >= ACK_INTERVAL_PARTS:
            return True
        return now - self.acked_at >= ACK_INTERVAL_S

    def build_ack(self, now):
        """Build an acknowledgement of the parts received, and record it as sent."""
        self.acked_sequence = self.next_sequence
        self.acked_at = now
        return ResponseAck(self.id, self.next_sequence)

    def is_resume_due(self, now):
        """Return whether the next part may be requested again."""
        if self.resumed_sequence != self.next_sequence:
            return True
        return now - self.resumed_at >= RESUME_INTERVAL_S

    def build_resume(self, now):
        """Build a request for the missing parts, and record it as sent."""
        self.resumed_sequence = self.next_sequence
        self.resumed_at = now
        return Resume(self.id, self.next_sequence, self.agent_incarnation)


class AttemptTable:
    """Live attempts of a router, and a bounded number of ended ones.

    :param identity: :class:`Sender` of the router.
    """

    def __init__(self, identity):
        self.identity = identity
        self.last_number = 0
        self.live = {}
        self.by_agent = {}
        self.link_replaced_at = {}
        self.ended = OrderedDict()

    def allocate_id(self):
        """Return a new attempt id."""
        self.last_number += 1
        return AttemptId(
            self.identity.name, self.identity.incarnation, self.last_number
        )

    def add(self, attempt):
        """Add a live attempt."""
        check_invariant(
            attempt.entry.attempt is None and attempt.entry.demand_class is None,
            "a request has one live attempt and does not wait meanwhile",
            attempt.entry.request.request_id,
        )
        attempt.entry.attempt = attempt
        self.live[attempt.id] = attempt
        self.by_agent.setdefault(attempt.agent, {})[attempt.id] = attempt

    def remove(self, attempt):
        """Remove a live attempt; its id is kept to recognise late messages."""
        check_invariant(
            self.live.pop(attempt.id, None) is attempt,
            "an attempt ends once",
            attempt.id,
        )
        attempts = self.by_agent[attempt.agent]
        del attempts[attempt.id]
        if not attempts:
            del self.by_agent[attempt.agent]
            self.link_replaced_at.pop(attempt.agent, None)
        attempt.entry.attempt = None
        self.ended.setdefault(attempt.id)
        if len(self.ended) > MAX_ENDED_ATTEMPTS:
            self.ended.popitem(last=False)

    def record_completion(self, attempt):
        """Record that all parts of an attempt have arrived."""
        self.ended[attempt.id] = attempt.next_sequence

    def find(self, sender, attempt_id):
        """Return the live attempt with an id if it runs at the sender, else None."""
        attempt = self.live.get(attempt_id)
        if attempt is None:
            return None
        source = (sender.name, sender.incarnation)
        if source != (attempt.agent, attempt.agent_incarnation):
            return None
        return attempt

    def list_by_agent(self, agent):
        """Return the live attempts at an agent."""
        return list(self.by_agent.get(agent, {}).values())

    def allow_link_replacement(self, agent, now):
        """Return whether the link to an agent may be replaced, and record it if so."""
        link_replaced_at = self.link_replaced_at.get(agent)
        if (
            link_replaced_at is not None
            and now - link_replaced_at < LINK_REPLACE_INTERVAL_S
        ):
            return False
        self.link_replaced_at[agent] = now
        return True
