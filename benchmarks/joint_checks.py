"""Ground truth of a simulated fleet, and the properties that must hold."""

from collections import Counter

from benchmarks.joint_nodes import N_PARTS, make_data
from benchmarks.joint_setup import MAX_ATTEMPTS
from catkinfork.routing import NOT_RUN, Respond

OUT_LIMIT_S = 3.0
LATE_S = 0.05


class JointFault(AssertionError):
    """A property of the fleet that does not hold.

    :param seed: seed of the run.
    :param detail: what was seen.
    """

    def __init__(self, seed, detail):
        super().__init__(f"seed {seed}: {detail}")


class Checker:
    """Ground truth of executions and answers, and the properties to hold."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = {}
        self.finals = {}
        self.data = {}
        self.lost = set()
        self.runs = Counter()
        self.out_since = {}
        self.counts = Counter()

    def fail(self, detail):
        """Raise the fault with the seed of the run."""
        raise JointFault(self.fleet.seed, detail)

    def note_run(self, node, start, now):
        """Note that a backend server begins to execute a request."""
        name = start.key or start.request_id
        self.runs[start.workspace, name] += 1
        self.counts["runs"] += 1
        most = MAX_ATTEMPTS if start.is_idempotent else 1
        n_runs = self.runs[start.workspace, name]
        if n_runs > most:
            self.fail(f"{start.request_id} {start.key} ran {n_runs} times")
        out_since = self.out_since.get(node.data_centre)
        if out_since is not None and now - out_since >= OUT_LIMIT_S:
            late_s = now - out_since
            self.fail(f"start in {node.data_centre} {late_s:.2f} s after out")

    def note_answer(self, node, action, now):
        """Note what a caller receives."""
        request_id = action.request_id
        if request_id in self.finals:
            self.fail(f"{request_id} has a second final answer")
        due = max(self.requests[request_id].deadline, node.paused_until)
        if now > due + LATE_S:
            self.fail(f"{request_id} is answered {now - due:.2f} s after its deadline")
        if isinstance(action, Respond):
            self.data[request_id] = self.data.get(request_id, b"") + action.data
            if action.is_last:
                self.check_complete(request_id)
                self.finals[request_id] = "complete"
                self.counts["complete"] += 1
            return
        self.finals[request_id] = action.refusal.outcome
        self.counts[action.refusal.outcome] += 1
        self.counts["refused " + action.refusal.code] += 1

    def check_complete(self, request_id):
        """Check that a response is whole and belongs to its request."""
        request = self.requests[request_id]
        expected = b"".join(make_data(request, number) for number in range(N_PARTS))
        if self.data[request_id] != expected:
            self.fail(f"{request_id} received {self.data[request_id]!r}")

    def lose_router(self, address):
        """Callers of a router that restarts lose their connections."""
        for request_id, router in self.fleet.placed.items():
            if router == address and request_id not in self.finals:
                self.lost.add(request_id)

    def check_end(self):
        """Check what holds once all deadlines have passed."""
        missing = set(self.requests) - set(self.finals) - self.lost
        if missing:
            self.fail(f"no final answer: {sorted(missing)[:5]}")
        for request_id, outcome in self.finals.items():
            request = self.requests[request_id]
            name = request.key or request_id
            if outcome == NOT_RUN and self.runs[request.workspace, name]:
                self.fail(f"{request_id} was refused as not_run, but it ran")
