"""Propagation of documents between processes under random faults."""

from functools import cache

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from catkinfork.configuration import AdoptDocument, ConfigurationState
from catkinfork.configuration._state import REQUEST_INTERVAL_S, REQUEST_SPACING_S
from catkinfork.configuration.tests.test_state import make_content
from catkinfork.document import parse_document
from catkinfork.protocol import DocumentReply, DocumentRequest, Send, Sender

N_PROCESSES = 5
HEARTBEAT_S = 0.5
# Time for two exchanges over a dispatcher, with a request interval still to elapse.
CONVERGENCE_S = 3.0
PROCESS = st.integers(0, N_PROCESSES - 1)
GROUPS = st.lists(st.integers(0, 2), min_size=N_PROCESSES, max_size=N_PROCESSES)
VARIANTS = ("rw-a", "rw-b", "rw-c")


@cache
def get_content(version, variant, environment="production"):
    return make_content(version, variant, environment)


@cache
def get_identity(content):
    return parse_document(content).unwrap().identity


class Fleet(RuleBasedStateMachine):
    """Processes, a service and a network that loses, delays and doubles messages."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.states = [ConfigurationState("production") for _ in range(N_PROCESSES)]
        self.seen = [(0, "")] * N_PROCESSES
        self.groups = [0] * N_PROCESSES
        self.messages = []
        self.value = get_content(1, "rw-a")
        self.shown = self.value
        self.mode = "ok"
        self.top_version = 1
        self.requested_at = {}

    def act(self, process, actions):
        """Carry out the actions of a process; check the rate of its requests."""
        for action in actions:
            if isinstance(action, Send):
                self.messages.append((process, int(action.destination), action.message))
                if isinstance(action.message, DocumentRequest):
                    self.check_rate(process, action.destination)
            if isinstance(action, AdoptDocument):
                assert action.view is self.states[process].view

    def check_rate(self, process, destination):
        """Check the limits on requests for each peer and for all together."""
        peers = self.requested_at.setdefault(process, {})
        assert self.now - peers.get(destination, 0.0) >= REQUEST_INTERVAL_S
        assert all(self.now - at >= REQUEST_SPACING_S for at in peers.values())
        peers[destination] = self.now

    def get_sender(self, process):
        return Sender(str(process), 1, *self.states[process].identity)

    def exchange(self, first, second):
        """Let two processes of one group hear a message from each other."""
        if self.groups[first] == self.groups[second] and first != second:
            self.act(second, self.states[second].hear(self.get_sender(first), self.now))
            self.act(first, self.states[first].hear(self.get_sender(second), self.now))

    def deliver(self, position):
        """Deliver a message if its ends can reach each other."""
        source, destination, message = self.messages.pop(position)
        if self.groups[source] == self.groups[destination]:
            sender = self.get_sender(source)
            state = self.states[destination]
            self.act(destination, state.handle(sender, message, self.now))

    def read_service(self, process):
        value = self.value if self.mode == "ok" else self.shown
        self.act(process, self.states[process].offer(value, "s", self.now))

    @rule(
        step=st.sampled_from([-1, 0, 0, 1]),
        variant=st.sampled_from(VARIANTS),
        watchers=st.sets(PROCESS),
    )
    def publish(self, step, variant, watchers):
        """Publish the next version, or race for the present one, or fall back."""
        version = max(1, self.top_version + step)
        self.top_version = max(self.top_version, version)
        self.value = get_content(version, variant)
        self.read(watchers)

    @rule(environment=st.sampled_from(["staging", "-"]))
    def publish_refused(self, environment):
        self.value = get_content(self.top_version + 5, "rw-a", environment)

    @rule(mode=st.sampled_from(["ok", "stale", "down"]))
    def set_mode(self, mode):
        if mode == "stale" and self.mode == "ok":
            self.shown = self.value
        self.mode = mode

    @rule(processes=st.sets(PROCESS))
    def read(self, processes):
        if self.mode != "down":
            for process in sorted(processes):
                self.read_service(process)

    @rule(groups=GROUPS | st.just([0] * N_PROCESSES))
    def partition(self, groups):
        """Split the network, or join it again."""
        self.groups = groups

    @rule(process=PROCESS)
    def restart(self, process):
        """Replace a process by one with empty state."""
        self.states[process] = ConfigurationState("production")
        self.seen[process] = (0, "")
        self.requested_at.pop(process, None)

    @rule(first=PROCESS, second=PROCESS)
    def hear(self, first, second):
        self.exchange(first, second)

    @rule(step_s=st.sampled_from([0.01, 0.3, 1.0]))
    def wait(self, step_s):
        self.now += step_s
        for process, state in enumerate(self.states):
            self.act(process, state.tick(self.now))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), fate=st.sampled_from(["deliver", "double", "lose"]))
    def pass_message(self, data, fate):
        """Deliver, double or lose a message, in any order."""
        position = data.draw(st.integers(0, len(self.messages) - 1))
        if fate == "double":
            self.messages.append(self.messages[position])
        if fate == "lose":
            del self.messages[position]
        else:
            self.deliver(position)

    @rule()
    def settle(self):
        """Without further faults every group ends with its greatest document."""
        deadline = self.now + CONVERGENCE_S
        best = self.find_greatest()
        while self.now < deadline:
            self.now += HEARTBEAT_S
            for process, group in enumerate(self.groups):
                self.exchange(process, self.groups.index(group))
            while self.messages:
                self.deliver(0)
        for process, group in enumerate(self.groups):
            assert self.states[process].identity == best[group]

    def find_greatest(self):
        """Return the identity of the greatest document of each group.

        A reply that is still on its way within a group counts: its sender may have
        restarted since.
        """
        best = dict.fromkeys(self.groups, (0, ""))
        for process, group in enumerate(self.groups):
            best[group] = max(best[group], self.states[process].identity)
        for source, destination, message in self.messages:
            group = self.groups[destination]
            is_reply = isinstance(message, DocumentReply) and message.content
            if is_reply and group == self.groups[source]:
                best[group] = max(best[group], get_identity(message.content))
        return best

    @invariant()
    def check_versions(self):
        """A process never goes back, and never holds a refused document."""
        for process, state in enumerate(self.states):
            assert state.identity >= self.seen[process]
            self.seen[process] = state.identity
            if state.view is not None:
                assert state.view.document.environment == "production"
                assert state.identity == get_identity(state.view.content)

    def teardown(self):
        self.groups = [0] * N_PROCESSES
        self.settle()


def run_fleet(fleet, phases=tuple(Phase)):
    run_state_machine_as_test(
        fleet,
        settings=settings(
            derandomize=True,
            max_examples=120,
            stateful_step_count=40,
            deadline=None,
            database=None,
            phases=phases,
            report_multiple_bugs=False,
        ),
    )


def test_versions_never_decrease_and_groups_converge():
    """Guards against reverting a document, and against processes that never get it."""
    run_fleet(Fleet)


def test_reply_that_outlives_its_sender_is_expected():
    """Guards against a check that expects less than a reply on its way delivers."""
    fleet = Fleet()
    fleet.publish(step=-1, variant="rw-a", watchers={0})
    fleet.hear(0, 1)
    fleet.deliver(0)
    fleet.restart(0)
    fleet.teardown()


class RevertingFleet(Fleet):
    """Fleet whose processes adopt every valid document."""

    def read_service(self, process):
        state = self.states[process]
        parsed = parse_document(self.value if self.mode == "ok" else self.shown)
        if parsed.is_ok() and parsed.unwrap().document.environment == "production":
            state.view = parsed.unwrap()


class DeafFleet(Fleet):
    """Fleet whose processes ignore the version hints of messages."""

    def exchange(self, first, second):
        return


@pytest.mark.parametrize("fleet", [RevertingFleet, DeafFleet])
def test_propagation_test_detects_a_missing_mechanism(fleet):
    """Guards against a propagation test that passes with a broken implementation."""
    with pytest.raises(AssertionError):
        run_fleet(fleet, [Phase.generate])
