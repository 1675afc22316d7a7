"""Requests and prompt parts that crash backend servers, and the checks on them."""

import asyncio

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.callers import (
    Caller,
    StreamCaller,
    StreamReader,
    make_stream_call,
)
from catkinfork.platform.tests.soak.checks import Violation
from catkinfork.platform.tests.soak.connections import Call, connect
from catkinfork.platform.tests.soak.hosts import choose_host
from catkinfork.platform.tests.soak.servers import CRASHING_BODY, CRASHING_PART
from catkinfork.platform.tests.soak.settings import (
    CONTACT_S,
    PLAIN_DEADLINE_S,
    POST_PATH,
    STREAM_DEADLINE_S,
)

# Time without crashing requests, for comparison, seconds.
CALM_S = 6.0
NEW_FIRST_PART = "bbbb02:100"
# Share of the callers that leave, and the longest time until then, seconds: as long as
# a server works on a request before it crashes.
P_LEAVES = 0.5
MAX_LEAVE_S = 0.3
# Crashes after which the time of the rules begins, and requests that may still come.
N_CRASHES = {"order": 3, "part": 5}
MAX_LATE = 3
# Sound requests in each of the two times from which on the rule judges.
MIN_SOUND = 20


class LateCaller(Caller):
    """A caller that begins once there are requests for comparison."""

    async def run(self):
        await asyncio.sleep(CALM_S)
        await super().run()


class CrashingOrderCaller(LateCaller):
    """A caller that sends a request that crashes servers, again and again.

    Each time it has a new id and comes at any host; the caller often leaves before the
    crash.
    """

    async def call(self):
        call = Call(
            f"order-{self.make_id()}",
            r.UNSAFE,
            "POST",
            f"{POST_PATH}b",
            PLAIN_DEADLINE_S,
            CRASHING_BODY,
            leave_s=draw_leave_s(self.rng),
        )
        await send_alone(self, call)
        await asyncio.sleep(self.rng.uniform(0.0, 0.8))


class CrashingPartCaller(LateCaller):
    """A caller whose prompts hold a part that crashes engines; no two are alike."""

    async def call(self):
        leave_s = draw_leave_s(self.rng)
        last_part = f"{self.rng.randrange(16**6):06x}:40"
        parts = [NEW_FIRST_PART, f"{CRASHING_PART}:40", last_part]
        call = make_stream_call(
            f"part-{self.make_id()}", StreamReader(9), None, parts, STREAM_DEADLINE_S
        )
        await send_alone(self, call._replace(leave_s=leave_s))


class NewPromptCaller(LateCaller, StreamCaller):
    """A caller of sound streams, whose first part stands beside the crashing one."""

    first_part = NEW_FIRST_PART


def draw_leave_s(rng):
    """Return the time after which a caller leaves, seconds, or None if it stays."""
    return rng.uniform(0.0, MAX_LEAVE_S) if rng.random() < P_LEAVES else None


async def send_alone(caller, call):
    """Send a request on a connection of its own, at any host."""
    host = choose_host(caller.fleet.hosts, caller.rng)
    connection = await connect(host, caller.records, call)
    if connection is not None:
        await connection.exchange(call)
        connection.close()


CALLERS = (
    CrashingOrderCaller,
    CrashingPartCaller,
    CrashingPartCaller,
    *[NewPromptCaller] * 6,
)


def find_crash_violations(facts):
    """Return the broken promises on requests that crash servers."""
    return [
        *find_late_retries(facts, "order"),
        *find_late_retries(facts, "part"),
        *find_lost_beside_part(facts),
    ]


def list_crashes(facts, name):
    """Return when servers crashed on requests whose ids begin with a name."""
    return sorted(
        run.ended_at
        for request_id, runs in facts.runs.items()
        for run in runs
        if request_id.startswith(f"{name}-") and run.outcome == r.CRASHED
    )


def find_late_retries(facts, name):
    """Return that too many crashing requests reach servers once all have to know."""
    crashes = list_crashes(facts, name)
    if len(crashes) < N_CRASHES[name]:
        return []
    since = crashes[N_CRASHES[name] - 1] + CONTACT_S
    late = [
        (request, run)
        for request in facts.records.requests
        if request.id.startswith(f"{name}-")
        for run in facts.runs[request.id]
        if run.began_at > since and facts.is_in_touch(request.host, run.began_at)
    ]
    if len(late) <= MAX_LATE:
        return []
    request, run = late[MAX_LATE]
    seen = ", ".join(f"{one.id} at {run.began_at:.3f}" for one, run in late)
    text = f"{len(late)} crashing requests later than {since:.3f}: {seen}"
    return [Violation("BUDGET", run.began_at, request.id, (request.host,), text)]


def find_lost_beside_part(facts):
    """Return that too few sound streams begin beside a part that crashes engines."""
    crashes = list_crashes(facts, "part")
    if not crashes:
        return []
    counted_at = crashes[min(len(crashes), N_CRASHES["part"]) - 1]
    since = counted_at + 2 * CONTACT_S
    sent_at = [
        request.began_at
        for request in facts.records.requests
        if request.id.startswith("part-")
    ]
    before, late = [], []
    for stream in facts.records.streams:
        first = stream.tries[0] if stream.tries else None
        if first is None or not facts.is_in_touch(first.host, first.began_at):
            continue
        if first.began_at < min(sent_at):
            before.append(first)
        elif since < first.began_at <= max(sent_at):
            late.append(first)
    if min(len(before), len(late)) < MIN_SOUND:
        return []
    share_before = sum(one.n_events > 0 for one in before) / len(before)
    failed = [one for one in late if not one.n_events]
    if 1.0 - len(failed) / len(late) >= share_before / 2:
        return []
    hosts = tuple(dict.fromkeys(one.host for one in failed))
    text = (
        f"{len(failed)} of {len(late)} sound streams do not begin beside a crashing "
        f"part, {share_before:.2f} began before: {[one.request_id for one in failed]}"
    )
    return [Violation("LOST beside a part", failed[0].began_at, "", hosts, text)]
