"""Claims of keys at the servers that are ranked before this one."""

from typing import NamedTuple

from catkinfork.execution._records import RELEASED
from catkinfork.protocol import Claim, Send

# Leaves room for a million claims in one millisecond of process start time, so numbers
# of an earlier incarnation never match.
INCARNATION_SHIFT_BITS = 20


class OpenClaim(NamedTuple):
    """A key that waits for the replies of other servers.

    :param execution: the waiting execution.
    :param waiting: names of the servers that have not replied.
    :param timeout_at: monotonic time at which a missing reply counts as ``unknown``.
    """

    execution: object
    waiting: set[str]
    timeout_at: float


class ClaimBook:
    """Open claims of this server.

    :param settings: :class:`ExecutionSettings`.
    :param backend_server: name of this backend server.
    :param incarnation: incarnation of this process.
    """

    def __init__(self, settings, backend_server, incarnation):
        self.settings = settings
        self.backend_server = backend_server
        self.next_number = incarnation << INCARNATION_SHIFT_BITS
        self.open = {}

    def claim(self, execution, servers, view, now):
        """Ask other servers to release a key.

        :param execution: the waiting execution.
        :param servers: names of the servers that are ranked before this one.
        :returns: list of sends.
        """
        self.next_number += 1
        number = self.next_number
        timeout_at = now + self.settings.claim_timeout_s
        self.open[number] = OpenClaim(execution, set(servers), timeout_at)
        start = execution.start
        sends = []
        for name in servers:
            claim = Claim(
                number,
                self.backend_server,
                start.workspace,
                start.key,
                name,
                start.age_ms,
            )
            sends.append(Send(view.backend_servers[name].agent, claim))
        return sends

    def take_reply(self, reply):
        """Take a reply.

        :returns: pair of execution and verdict if the claim is now decided, else None.
        """
        claim = self.open.get(reply.claim)
        if claim is None or reply.backend_server not in claim.waiting:
            return None
        if reply.verdict != RELEASED:
            del self.open[reply.claim]
            return claim.execution, reply.verdict
        claim.waiting.discard(reply.backend_server)
        if claim.waiting:
            return None
        del self.open[reply.claim]
        return claim.execution, RELEASED

    def drop(self, execution):
        """Drop the claim of an execution that no longer waits."""
        if not execution.is_claiming:
            return
        self.open = {
            number: claim
            for number, claim in self.open.items()
            if claim.execution is not execution
        }

    def take_expired(self, now):
        """Remove claims that were not answered in time and return their executions."""
        expired = [
            number for number, claim in self.open.items() if claim.timeout_at <= now
        ]
        return [self.open.pop(number).execution for number in expired]
