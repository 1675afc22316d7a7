"""Figures of the bench from real processes on loopback: ``make bench-processes``.

A fleet of the Authority shape serves closed-loop callers of 16 workspaces, four of them
large, with uneven load on its three routers. After the backlog phase a data centre is
taken out of service and returned. One machine runs the callers, the stand-ins and the
fleet, so the figures include their competition for its processors.
"""

import itertools
import json
import random
import re
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

import anyio
import httpx

from standins.fleet_layout import FleetLayout, ServerLayout
from standins.local_fleet import LocalFleet

WARM_UP_S = 6.0
BACKLOG_S = 15.0
OUTAGE_S = 8.0
RECOVERY_S = 8.0
SAMPLE_S = 0.5
OUT_GRACE_S = 3.0
N_WORKSPACES = 16
N_LARGE = 4
N_CALLERS_LARGE = 14
N_CALLERS_SMALL = 1
MAX_TOKENS = (20, 60)
MAX_COST = 300
OUT_DATA_CENTRE = "kicukiro"
# Messages that carry requests and responses; all others count as control traffic.
DATA_MESSAGES = ("Start", "ResponsePart", "ResponseAck")

_METRIC = re.compile(r"^(\w+)(?:\{(.*)\})? ([-+0-9.eE]+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')

RUNNER_DATA_CENTRES = ("nyarugenge", "nyarugenge", "gasabo", "gasabo", "kicukiro")
LEDGER_DATA_CENTRES = ("nyarugenge", "gasabo", "kicukiro")


class Sample(NamedTuple):
    """Metrics of all processes at one time.

    :param taken_at: monotonic time, seconds.
    :param units: delivered service units by workspace.
    :param n_running: requests running at the runners.
    :param n_places: places of the runners.
    :param n_open: requests open at the routers.
    :param processes: counters by process.
    """

    taken_at: float
    units: dict[str, float]
    n_running: float
    n_places: float
    n_open: float
    processes: dict[str, dict[str, float]]


class Outcome(NamedTuple):
    """Result of one request of a caller.

    :param workspace: workspace of the caller.
    :param sent_at: monotonic time, seconds.
    :param duration_s: time until the complete response.
    :param status: HTTP status, 0 for a failed connection.
    """

    workspace: str
    sent_at: float
    duration_s: float
    status: int


def build_layout():
    """Return the layout of the Authority shape."""
    runners = [
        ServerLayout(f"runner-{n}", data_centre, "assistant", ("contract-draft",), 8)
        for n, data_centre in enumerate(RUNNER_DATA_CENTRES, start=1)
    ]
    ledgers = [
        ServerLayout(f"order-{n}", data_centre, "orders", ("orders",), 4)
        for n, data_centre in enumerate(LEDGER_DATA_CENTRES, start=1)
    ]
    names = [f"workspace-{n:02}" for n in range(1, N_WORKSPACES + 1)]
    return FleetLayout(
        data_centres=("nyarugenge", "gasabo", "kicukiro"),
        servers=(*runners, *ledgers),
        router_data_centres=("nyarugenge", "gasabo", "kicukiro"),
        workspaces=dict.fromkeys(names, 1.0),
        pools={"assistant": "engine", "orders": "service"},
        max_cost=MAX_COST,
    )


def parse_metrics(text):
    """Yield name, labels and value of each sample in the text exposition format."""
    for line in text.splitlines():
        match = _METRIC.match(line)
        if match is not None:
            yield match[1], dict(_LABEL.findall(match[2] or "")), float(match[3])


class LoadGenerator:
    """Closed-loop callers and the metrics sampler of one run.

    :param fleet: running :class:`LocalFleet`.
    :param rng: ``random.Random``.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.samples = []
        self.outcomes = []
        self.is_stopping = False

    async def run_caller(self, workspace, position):
        """Send requests one after the other until the run stops."""
        router = self.choose_router(workspace)
        async with httpx.AsyncClient(
            base_url=self.fleet.find_url(f"{router}/callers"),
            headers={"Authorization": f"Bearer {self.fleet.api_keys[workspace]}"},
            timeout=60.0,
            trust_env=False,
        ) as client:
            for number in itertools.count():
                if self.is_stopping:
                    return
                text = f"{workspace} {position} {number}"
                await self.send_request(client, workspace, text)

    def choose_router(self, workspace):
        """Return the router of a caller; 80% use the preferred one of the workspace."""
        preferred = int(workspace[-2:]) % len(self.fleet.routers)
        if self.rng.random() < 0.8:
            return self.fleet.routers[preferred]
        return self.rng.choice(self.fleet.routers)

    async def send_request(self, client, workspace, text):
        """Send one request and record its outcome."""
        body = {
            "model": "contract-draft",
            "max_tokens": self.rng.randint(*MAX_TOKENS),
            "messages": [{"role": "user", "content": text}],
        }
        sent_at = time.monotonic()
        try:
            answer = await client.post("/v1/chat/completions", json=body)
            status = answer.status_code
        except httpx.HTTPError:
            status = 0
        duration_s = time.monotonic() - sent_at
        self.outcomes.append(Outcome(workspace, sent_at, duration_s, status))
        if status != 200:
            await anyio.sleep(0.2)

    async def run_sampler(self):
        """Sample the metrics of all processes at regular intervals."""
        async with httpx.AsyncClient(timeout=5.0, trust_env=False) as client:
            while True:
                self.samples.append(await self.read_sample(client))
                await anyio.sleep(SAMPLE_S)

    async def read_sample(self, client):
        """Read the metrics of all processes once."""
        units, processes = {}, {}
        totals = {"running": 0.0, "places": 0.0, "open": 0.0}
        for name in self.fleet.list_members():
            url = self.fleet.find_url(f"{name}/admin") + "/metrics"
            counters = processes[name] = {}
            is_runner = name.startswith("agent-runner")
            for metric, labels, value in parse_metrics((await client.get(url)).text):
                short_name = metric.removeprefix("catkinfork_")
                if short_name == "delivered_service_units" and is_runner:
                    workspace = labels["workspace"]
                    units[workspace] = units.get(workspace, 0.0) + value
                elif short_name == "requests_running" and is_runner:
                    totals["running"] += value
                elif short_name == "places" and is_runner:
                    totals["places"] += value
                elif short_name == "requests_open":
                    totals["open"] += value
                elif short_name in ("messages", "messages_bytes"):
                    path = "data" if labels["message"] in DATA_MESSAGES else "control"
                    for key in (
                        f"{short_name}/{path}",
                        f"{short_name}/{labels['message']}",
                    ):
                        counters[key] = counters.get(key, 0.0) + value
                elif not labels:
                    counters[short_name] = value
        return Sample(
            time.monotonic(),
            units,
            totals["running"],
            totals["places"],
            totals["open"],
            processes,
        )

    async def run(self):
        """Run all phases and return their start times."""
        phase_starts = {}
        async with anyio.create_task_group() as tasks:
            names = list(self.fleet.layout.workspaces)
            for number, workspace in enumerate(names):
                n_callers = N_CALLERS_LARGE if number < N_LARGE else N_CALLERS_SMALL
                for position in range(n_callers):
                    tasks.start_soon(self.run_caller, workspace, position)
            with anyio.CancelScope() as scope:
                tasks.start_soon(self.run_sampler_in_scope, scope)
                await anyio.sleep(WARM_UP_S)
                phase_starts["backlog"] = time.monotonic()
                await anyio.sleep(BACKLOG_S)
                phase_starts["out"] = time.monotonic()
                await anyio.to_thread.run_sync(self.publish, 2, (OUT_DATA_CENTRE,))
                await anyio.sleep(OUTAGE_S)
                phase_starts["return"] = time.monotonic()
                await anyio.to_thread.run_sync(self.publish, 3, ())
                await anyio.sleep(RECOVERY_S)
                phase_starts["end"] = time.monotonic()
            self.is_stopping = True
            self.sampler_scope.cancel()
        return phase_starts

    async def run_sampler_in_scope(self, _):
        """Run the sampler in a cancel scope of its own."""
        with anyio.CancelScope() as self.sampler_scope:
            await self.run_sampler()

    def publish(self, version, out):
        """Publish a document version with some data centres out of service."""
        self.fleet.publish(self.fleet.build_document(version, out=out))


def compute_gap(samples, names):
    """Return the largest gap in weighted service between two workspaces.

    The gap of a pair is the range of the difference of their delivered units.

    :param samples: samples of the time in which all these workspaces are backlogged.
    :param names: workspaces, each of share 1.
    """
    largest = 0.0
    for first, second in itertools.combinations(names, 2):
        differences = [
            sample.units.get(first, 0.0) - sample.units.get(second, 0.0)
            for sample in samples
        ]
        largest = max(largest, max(differences) - min(differences))
    return largest


def count_late_starts(fleet, phase_starts, offset_s):
    """Return the number of executions started more than 3 s after the outage began.

    :param fleet: :class:`LocalFleet`.
    :param phase_starts: start times of the phases, monotonic seconds.
    :param offset_s: wall clock less monotonic clock, seconds.
    """
    n_late = 0
    for server in fleet.layout.servers:
        if server.data_centre != OUT_DATA_CENTRE:
            continue
        for event in fleet.read_events(f"agent-{server.name}"):
            started_at = parse_time(event["time"]) - offset_s
            is_start = event["name"] == "execution_started"
            if (
                is_start
                and phase_starts["out"] + OUT_GRACE_S
                < started_at
                < phase_starts["return"]
            ):
                n_late += 1
    return n_late


def parse_time(text):
    """Return the time of a log line as seconds since the epoch."""
    from datetime import datetime

    return datetime.fromisoformat(text).timestamp()


def compute_quantile(values, fraction):
    """Return a quantile of a list of numbers, 0 if it is empty."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def compute_phase_figures(load, start, end):
    """Return the figures of the requests that were sent in one phase."""
    outcomes = [outcome for outcome in load.outcomes if start <= outcome.sent_at < end]
    n_failed = sum(outcome.status != 200 for outcome in outcomes)
    return {
        "n_requests": len(outcomes),
        "share_lost": n_failed / max(1, len(outcomes)),
        "p95_s": compute_quantile([outcome.duration_s for outcome in outcomes], 0.95),
    }


def compute_control_figures(samples, role):
    """Return the largest message rates and processor time among a role's processes."""
    first, last = samples[0], samples[-1]
    elapsed_s = last.taken_at - first.taken_at
    figures = {"by_message": {}}
    for name in last.processes:
        if not name.startswith(role):
            continue
        after, before = last.processes[name], first.processes[name]

        def rate(key, after=after, before=before):
            return (after[key] - before.get(key, 0.0)) / elapsed_s

        for key in after:
            if "/" in key:
                largest = figures["by_message"].get(key, 0.0)
                figures["by_message"][key] = max(largest, round(rate(key), 1))
        core_share = rate("processor_seconds")
        figures["core_share"] = max(figures.get("core_share", 0.0), core_share)
    return figures


def compute_figures(fleet, load, phase_starts, offset_s):
    """Return all figures of a run."""
    backlog = [
        sample
        for sample in load.samples
        if phase_starts["backlog"] <= sample.taken_at < phase_starts["out"]
    ]
    large = list(fleet.layout.workspaces)[:N_LARGE]
    n_places = max(sample.n_places for sample in backlog)
    bound = (1 + 2 * n_places) * MAX_COST
    gap = compute_gap(backlog, large)
    busy = [sample for sample in backlog if sample.n_open > sample.n_places]
    utilisations = [sample.n_running / max(1.0, sample.n_places) for sample in busy]
    return {
        "gap_units": gap,
        "gap_of_bound": gap / bound,
        "bound_units": bound,
        "utilisation_while_waiting": sum(utilisations) / max(1, len(utilisations)),
        "n_busy_samples": len(busy),
        "late_starts": count_late_starts(fleet, phase_starts, offset_s),
        "before": compute_phase_figures(
            load, phase_starts["backlog"], phase_starts["out"]
        ),
        "out": compute_phase_figures(load, phase_starts["out"], phase_starts["return"]),
        "after": compute_phase_figures(
            load, phase_starts["return"], phase_starts["end"]
        ),
        "router": compute_control_figures(backlog, "router"),
        "agent": compute_control_figures(backlog, "agent"),
    }


def main(seed=1):
    """Run once, print the figures and write ``build/bench-processes.json``."""
    with tempfile.TemporaryDirectory(prefix="catkinfork-bench-") as directory:
        fleet = LocalFleet(Path(directory), build_layout())
        try:
            fleet.start()
            load = LoadGenerator(fleet, random.Random(seed))
            offset_s = time.time() - time.monotonic()
            phase_starts = anyio.run(load.run)
            figures = compute_figures(fleet, load, phase_starts, offset_s)
        finally:
            fleet.stop()
    figures["seed"] = seed
    text = json.dumps(figures, indent=2)
    path = Path("build/bench-processes.json")
    path.parent.mkdir(exist_ok=True)
    path.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
