"""The bench's figures from real processes on loopback: ``make bench-processes``.

One Authority-shaped fleet serves closed-loop callers of 16 workspaces, four of them
large, spread unevenly over three routers. A data centre is taken out and returned half
way. The figures are those of one machine that runs callers, stand-ins and fleet.
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
OUT_S = 8.0
RETURN_S = 8.0
SAMPLE_S = 0.5
OUT_GRACE_S = 3.0
N_WORKSPACES = 16
N_LARGE = 4
CALLERS_LARGE = 14
CALLERS_SMALL = 1
MAX_TOKENS = (20, 60)
MAX_COST = 300
OUT_DATA_CENTRE = "kicukiro"
# Messages that carry requests and responses; all others are control.
DATA_MESSAGES = ("Start", "ResponsePart", "ResponseAck")

_METRIC = re.compile(r"^(\w+)(?:\{(.*)\})? ([-+0-9.eE]+)$")
_LABEL = re.compile(r'(\w+)="([^"]*)"')

RUNNER_CENTRES = ("nyarugenge", "nyarugenge", "gasabo", "gasabo", "kicukiro")
LEDGER_CENTRES = ("nyarugenge", "gasabo", "kicukiro")


class Sample(NamedTuple):
    """One reading of all processes.

    :param taken_at: monotonic time, seconds.
    :param units: service units delivered by each workspace.
    :param n_running: requests that run.
    :param n_places: places.
    :param n_open: requests open at the routers.
    :param processes: counters of each process.
    """

    taken_at: float
    units: dict[str, float]
    n_running: float
    n_places: float
    n_open: float
    processes: dict[str, dict[str, float]]


class Outcome(NamedTuple):
    """One request of a caller."""

    workspace: str
    sent_at: float
    duration_s: float
    status: int


def build_layout():
    """Return the Authority's shape."""
    runners = [
        ServerLayout(f"runner-{n}", centre, "assistant", ("contract-draft",), 8)
        for n, centre in enumerate(RUNNER_CENTRES, start=1)
    ]
    ledgers = [
        ServerLayout(f"order-{n}", centre, "orders", ("orders",), 4)
        for n, centre in enumerate(LEDGER_CENTRES, start=1)
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
    """Yield name, labels and value of each line of an exposition."""
    for line in text.splitlines():
        match = _METRIC.match(line)
        if match is not None:
            yield match[1], dict(_LABEL.findall(match[2] or "")), float(match[3])


class Load:
    """Callers and readers of one run.

    :param fleet: :class:`LocalFleet` that runs.
    :param rng: ``random.Random``.
    """

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng
        self.samples = []
        self.outcomes = []
        self.is_stopping = False

    async def call(self, workspace, position):
        """Send requests one after the other until told to stop."""
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
                await self.send(client, workspace, text)

    def choose_router(self, workspace):
        """Return the router of a caller: four in five use the same one."""
        home = int(workspace[-2:]) % len(self.fleet.routers)
        if self.rng.random() < 0.8:
            return self.fleet.routers[home]
        return self.rng.choice(self.fleet.routers)

    async def send(self, client, workspace, text):
        """Send one request and note its outcome."""
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

    async def sample(self):
        """Read the metrics of all processes at regular times."""
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
                short = metric.removeprefix("catkinfork_")
                if short == "delivered_service_units" and is_runner:
                    workspace = labels["workspace"]
                    units[workspace] = units.get(workspace, 0.0) + value
                elif short == "requests_running" and is_runner:
                    totals["running"] += value
                elif short == "places" and is_runner:
                    totals["places"] += value
                elif short == "requests_open":
                    totals["open"] += value
                elif short in ("messages", "messages_bytes"):
                    path = "data" if labels["message"] in DATA_MESSAGES else "control"
                    for key in (f"{short}/{path}", f"{short}/{labels['message']}"):
                        counters[key] = counters.get(key, 0.0) + value
                elif not labels:
                    counters[short] = value
        return Sample(
            time.monotonic(),
            units,
            totals["running"],
            totals["places"],
            totals["open"],
            processes,
        )

    async def run(self):
        """Run all phases; return the times at which they began."""
        marks = {}
        async with anyio.create_task_group() as tasks:
            names = list(self.fleet.layout.workspaces)
            for number, workspace in enumerate(names):
                n_callers = CALLERS_LARGE if number < N_LARGE else CALLERS_SMALL
                for position in range(n_callers):
                    tasks.start_soon(self.call, workspace, position)
            with anyio.CancelScope() as sampling:
                tasks.start_soon(self.sample_within, sampling)
                await anyio.sleep(WARM_UP_S)
                marks["backlog"] = time.monotonic()
                await anyio.sleep(BACKLOG_S)
                marks["out"] = time.monotonic()
                await anyio.to_thread.run_sync(self.publish, 2, (OUT_DATA_CENTRE,))
                await anyio.sleep(OUT_S)
                marks["return"] = time.monotonic()
                await anyio.to_thread.run_sync(self.publish, 3, ())
                await anyio.sleep(RETURN_S)
                marks["end"] = time.monotonic()
            self.is_stopping = True
            self.sampling.cancel()
        return marks

    async def sample_within(self, _):
        """Sample until the run ends."""
        with anyio.CancelScope() as self.sampling:
            await self.sample()

    def publish(self, version, out):
        """Publish a document."""
        self.fleet.publish(self.fleet.build_document(version, out=out))


def measure_gap(samples, names):
    """Return the largest change of a pair's difference in weighted service.

    :param samples: samples of the time in which all the workspaces are backlogged.
    :param names: workspaces of share 1.
    """
    worst = 0.0
    for first, second in itertools.combinations(names, 2):
        differences = [
            sample.units.get(first, 0.0) - sample.units.get(second, 0.0)
            for sample in samples
        ]
        worst = max(worst, max(differences) - min(differences))
    return worst


def count_late_starts(fleet, marks, offset_s):
    """Return the starts in the data centre from 3 s after it was taken out."""
    n_late = 0
    for server in fleet.layout.servers:
        if server.data_centre != OUT_DATA_CENTRE:
            continue
        for event in fleet.read_events(f"agent-{server.name}"):
            moment = read_time(event["time"]) - offset_s
            is_start = event["name"] == "execution_started"
            if is_start and marks["out"] + OUT_GRACE_S < moment < marks["return"]:
                n_late += 1
    return n_late


def read_time(text):
    """Return the seconds since the epoch of a log line's time."""
    from datetime import datetime

    return datetime.fromisoformat(text).timestamp()


def find_quantile(values, share):
    """Return a quantile of a list of numbers, 0 if it is empty."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def describe_phase(load, start, end):
    """Return the service of one phase."""
    chosen = [outcome for outcome in load.outcomes if start <= outcome.sent_at < end]
    n_failed = sum(outcome.status != 200 for outcome in chosen)
    return {
        "n_requests": len(chosen),
        "share_lost": n_failed / max(1, len(chosen)),
        "p95_s": find_quantile([outcome.duration_s for outcome in chosen], 0.95),
    }


def describe_control(samples, role):
    """Return the largest control traffic and processor time of a role."""
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
        core = rate("processor_seconds")
        figures["core_share"] = max(figures.get("core_share", 0.0), core)
    return figures


def summarise(fleet, load, marks, offset_s):
    """Return all figures of a run."""
    backlog = [
        sample
        for sample in load.samples
        if marks["backlog"] <= sample.taken_at < marks["out"]
    ]
    large = list(fleet.layout.workspaces)[:N_LARGE]
    n_places = max(sample.n_places for sample in backlog)
    bound = (1 + 2 * n_places) * MAX_COST
    gap = measure_gap(backlog, large)
    busy = [sample for sample in backlog if sample.n_open > sample.n_places]
    used = [sample.n_running / max(1.0, sample.n_places) for sample in busy]
    return {
        "gap_units": gap,
        "gap_of_bound": gap / bound,
        "bound_units": bound,
        "utilisation_while_waiting": sum(used) / max(1, len(used)),
        "n_busy_samples": len(busy),
        "late_starts": count_late_starts(fleet, marks, offset_s),
        "before": describe_phase(load, marks["backlog"], marks["out"]),
        "out": describe_phase(load, marks["out"], marks["return"]),
        "after": describe_phase(load, marks["return"], marks["end"]),
        "router": describe_control(backlog, "router"),
        "agent": describe_control(backlog, "agent"),
    }


def main(seed=1):
    """Run once and write ``build/bench-processes.json``."""
    with tempfile.TemporaryDirectory(prefix="catkinfork-bench-") as directory:
        fleet = LocalFleet(Path(directory), build_layout())
        try:
            fleet.start()
            load = Load(fleet, random.Random(seed))
            offset_s = time.time() - time.monotonic()
            marks = anyio.run(load.run)
            figures = summarise(fleet, load, marks, offset_s)
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
