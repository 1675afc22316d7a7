"""Claims of keys at the servers that rank above this one."""

from typing import NamedTuple

from catkinfork.execution._key_records import RELEASED
from catkinfork.protocol import Claim, Send

# Incarnations are start times in milliseconds. This leaves a million claim numbers to
# each millisecond, so that numbers of an earlier incarnation are not reused.
INCARNATION_SHIFT_BITS = 20


class OpenClaim(NamedTuple):
    """A claim that waits for the replies of other servers.

    :param execution: the waiting execution.
    :param waiting: names of the servers that have not replied yet.
    :param timeout_at: monotonic time after which a missing reply counts as ``unknown``.
    """

    execution: object
    waiting: set[str]
    timeout_at: float


class ClaimTable:
    """Open claims of this server.

    :param settings: :class:`ExecutionSettings`.
    :param backend_server: name of this backend server.
    :param incarnation: incarnation of this process.
    """

    def __init__(self, settings, backend_server, incarnation):
        self.settings = settings
        self.backend_server = backend_server
        self.next_number = incarnation << INCARNATION_SHIFT_BITS
        self.open_claims = {}

    def send_claims(self, execution, servers, view, now):
        """Ask other servers to release a key.

        :param execution: the waiting execution.
        :param servers: names of the servers that rank above this one.
        :returns: list of sends.
        """
        self.next_number += 1
        number = self.next_number
        timeout_at = now + self.settings.claim_timeout_s
        self.open_claims[number] = OpenClaim(execution, set(servers), timeout_at)
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

    def handle_reply(self, reply):
        """Handle a reply.

        :returns: pair of execution and verdict if it decides the claim, else None.
        """
        claim = self.open_claims.get(reply.claim)
        if claim is None or reply.backend_server not in claim.waiting:
            return None
        if reply.verdict != RELEASED:
            del self.open_claims[reply.claim]
            return claim.execution, reply.verdict
        claim.waiting.discard(reply.backend_server)
        if claim.waiting:
            return None
        del self.open_claims[reply.claim]
        return claim.execution, RELEASED

    def remove(self, execution):
        """Remove the claim of an execution that no longer waits."""
        if not execution.is_claiming:
            return
        self.open_claims = {
            number: claim
            for number, claim in self.open_claims.items()
            if claim.execution is not execution
        }

    def remove_expired(self, now):
        """Remove the claims that have timed out and return their executions."""
        expired = [
            number
            for number, claim in self.open_claims.items()
            if claim.timeout_at <= now
        ]
        return [self.open_claims.pop(number).execution for number in expired]
