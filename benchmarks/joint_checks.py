"""Ground truth and invariants of a simulated fleet."""

from collections import Counter

from benchmarks.joint_nodes import N_RESPONSE_PARTS, build_response_data
from benchmarks.joint_setup import MAX_ATTEMPTS
from catkinfork.routing import NOT_RUN, Respond

OUT_GRACE_S = 3.0
DEADLINE_TOLERANCE_S = 0.05


class InvariantViolationError(AssertionError):
    """An invariant of the fleet is violated.

    :param seed: seed of the run.
    :param detail: description of the violation.
    """

    def __init__(self, seed, detail):
        super().__init__(f"seed {seed}: {detail}")


class Checker:
    """Records executions and answers, and checks the invariants of the fleet.

    :param fleet: :class:`benchmarks.joint_run.JointRun`.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = {}
        self.final_outcomes = {}
        self.response_data = {}
        self.disconnected = set()
        self.n_executions = Counter()
        self.out_since = {}
        self.counts = Counter()

    def fail(self, detail):
        """Raise :class:`InvariantViolationError` with the seed of the run."""
        raise InvariantViolationError(self.fleet.seed, detail)

    def record_execution(self, node, start, now):
        """Record that a backend server begins to execute a request."""
        name = start.key or start.request_id
        self.n_executions[start.workspace, name] += 1
        self.counts["runs"] += 1
        max_executions = MAX_ATTEMPTS if start.is_idempotent else 1
        n_executions = self.n_executions[start.workspace, name]
        if n_executions > max_executions:
            self.fail(f"{start.request_id} {start.key} ran {n_executions} times")
        out_since = self.out_since.get(node.data_centre)
        if out_since is not None and now - out_since >= OUT_GRACE_S:
            late_s = now - out_since
            self.fail(
                f"execution started in {node.data_centre} {late_s:.2f} s after "
                "it was taken out"
            )

    def record_answer(self, node, action, now):
        """Record what a caller receives."""
        request_id = action.request_id
        if request_id in self.final_outcomes:
            self.fail(f"{request_id} received a second final answer")
        due_at = max(self.requests[request_id].deadline, node.paused_until)
        if now > due_at + DEADLINE_TOLERANCE_S:
            self.fail(
                f"{request_id} was answered {now - due_at:.2f} s after its deadline"
            )
        if isinstance(action, Respond):
            self.response_data[request_id] = (
                self.response_data.get(request_id, b"") + action.data
            )
            if action.is_last:
                self.check_complete(request_id)
                self.final_outcomes[request_id] = "complete"
                self.counts["complete"] += 1
            return
        self.final_outcomes[request_id] = action.refusal.outcome
        self.counts[action.refusal.outcome] += 1
        self.counts["refused " + action.refusal.code] += 1

    def check_complete(self, request_id):
        """Check that a response is complete and belongs to its request."""
        request = self.requests[request_id]
        expected = b"".join(
            build_response_data(request, number) for number in range(N_RESPONSE_PARTS)
        )
        if self.response_data[request_id] != expected:
            self.fail(
                f"{request_id} received a wrong response: "
                f"{self.response_data[request_id]!r}"
            )

    def record_router_restart(self, address):
        """Record that the callers of a restarted router lose their connections."""
        for request_id, router in self.fleet.router_of_request.items():
            if router == address and request_id not in self.final_outcomes:
                self.disconnected.add(request_id)

    def check_end(self):
        """Check the invariants that hold once all deadlines have passed."""
        missing = set(self.requests) - set(self.final_outcomes) - self.disconnected
        if missing:
            self.fail(f"no final answer: {sorted(missing)[:5]}")
        for request_id, outcome in self.final_outcomes.items():
            request = self.requests[request_id]
            name = request.key or request_id
            if outcome == NOT_RUN and self.n_executions[request.workspace, name]:
                self.fail(f"{request_id} was refused as not_run, but it ran")
