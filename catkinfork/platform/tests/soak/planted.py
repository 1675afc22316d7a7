"""Runs the soak against scratch copies with small faults, which its checks have to see.

``python -m catkinfork.platform.tests.soak.planted``, or with the names of faults.
"""

import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from catkinfork.platform.tests.soak.run import run_soak
from catkinfork.platform.tests.soak.settings import ROOT, SoakSettings

N_SECONDS = 40.0
COPIED_FOLDERS = ("catkinfork", "deploy")


class PlantedFault(NamedTuple):
    """A small fault of the forwarder.

    :param path: file below the package, without its extension.
    :param sound: text that stands there once.
    :param faulty: text that takes its place.
    :param rules: checks of which one has to see the fault.
    """

    name: str
    path: str
    sound: str
    faulty: str
    kind: str
    seed: int
    rules: tuple[str, ...]
    n_clients: int = 60
    stream_share: float = 0.3


FAULTS = (
    # docs/incidents/late-streams-at-stop.md
    PlantedFault(
        "late streams are sent on an estimate",
        "balancing/_stop",
        "job.route.kind == STREAMING and self.may_cut(job)",
        "False",
        "bursts",
        604,
        ("LOST",),
    ),
    # docs/incidents/drain-cut-watches.md
    PlantedFault(
        "a watch that is cut is followed by another one",
        "topology/_watcher",
        "return await self.source.retry(self.state.revision)",
        "return await self.source.wait(self.state.revision)",
        "watches",
        1,
        ("DRAIN",),
    ),
    # docs/incidents/crash-after-caller-left.md
    PlantedFault(
        "a crash does not count once the caller has left",
        "forwarding/_attempt",
        "    def on_error(self, detail):\n        self.record(BROKEN)\n",
        "    def on_error(self, detail):\n        pass\n",
        "crashing",
        1,
        ("BUDGET",),
    ),
    # docs/incidents/slow-restarts.md
    PlantedFault(
        "a forwarder that starts keeps nothing that its peers tell",
        "forwarder/_joining",
        "self.snapshots.apply(snapshot, now, is_late)",
        "pass",
        "planned",
        10,
        ("LOST streams", "ORDER"),
        stream_share=0.9,
    ),
    PlantedFault(
        "a stop does not wait for requests",
        "forwarder/_drain",
        "    await finish_requests(server, ends_at)\n",
        "",
        "planned",
        4,
        ("LOST",),
    ),
    # docs/incidents/limit-capped.md
    PlantedFault(
        "each forwarder uses the whole limit of a server",
        "balancing/_allowance",
        "return 1.0 / (RATE_UTILIZATION * rate * share)",
        "return 1.0 / (RATE_UTILIZATION * rate)",
        "notices",
        702,
        ("LIMIT",),
    ),
    PlantedFault(
        "limits of servers are not read",
        "forwarding/_server",
        "if is_expected or limit is not None:",
        "if False:",
        "notices",
        702,
        ("LIMIT",),
    ),
    PlantedFault(
        "pauses that servers ask for are not read",
        "forwarding/_server",
        "if status == SERVICE_UNAVAILABLE and value is not None:",
        "if False:",
        "notices",
        702,
        ("BUDGET",),
    ),
    PlantedFault(
        "answers of servers that leave are not read",
        "forwarding/_server",
        "is_leaving = headers.get(self.names.leaving) == LEAVING",
        "is_leaving = False",
        "notices",
        702,
        ("DRAIN",),
    ),
    PlantedFault(
        "a request that may have run is refused as not run",
        "forwarding/_exchange",
        "elif self.job.n_runs:",
        "elif False:",
        "hard",
        10,
        ("REFUSED",),
    ),
    PlantedFault(
        "unsafe requests are repeated",
        "balancing/_retries",
        "return job.route.is_repeatable and n_runs",
        "return n_runs",
        "hard",
        10,
        ("TWICE",),
    ),
    PlantedFault(
        "a deadline is two seconds late",
        "forwarding/_exchange",
        "self.expires_at = self.job.deadline_at\n",
        "self.expires_at = self.job.deadline_at + 2.0\n",
        "hard",
        10,
        ("LATE",),
    ),
)


def plant(fault, folder):
    """Write a copy of the forwarder with a fault.

    :raises ValueError: the text that the fault replaces does not stand there once.
    """
    for name in COPIED_FOLDERS:
        ignored = shutil.ignore_patterns("__pycache__", "tests")
        shutil.copytree(ROOT / name, folder / name, ignore=ignored)
    path = folder / "catkinfork" / f"{fault.path}.py"
    text = path.read_text()
    if text.count(fault.sound) != 1:
        raise ValueError(f"{fault.path} does not hold once: {fault.sound}")
    path.write_text(text.replace(fault.sound, fault.faulty))


def describe_result(fault, violations):
    """Return whether a check has seen a fault, and a line of text."""
    counts = Counter(one.rule for one in violations)
    others = ", ".join(f"{rule} {n}" for rule, n in sorted(counts.items()))
    place = f"{fault.kind}, seed {fault.seed}: {others or 'nothing broken'}"
    seen = [one for one in violations if one.rule in fault.rules]
    if not seen:
        return False, f"NOT SEEN  {fault.name} ({place})"
    first = seen[0]
    return True, f"{first.rule} after {first.at:.1f} s  {fault.name} ({place})"


def main():
    """Play the faults whose names are given, or all; exit with 1 if one is not seen."""
    names = sys.argv[1:]
    unknown = set(names) - {fault.name for fault in FAULTS}
    if unknown:
        print(f"unknown faults: {', '.join(sorted(unknown))}", file=sys.stderr)
        return 2
    n_unseen = 0
    for fault in FAULTS:
        if names and fault.name not in names:
            continue
        folder = Path(tempfile.mkdtemp(prefix="soak-planted-"))
        plant(fault, folder / "source")
        settings = SoakSettings(
            fault.kind,
            fault.seed,
            N_SECONDS,
            n_clients=fault.n_clients,
            source=folder / "source",
            stream_share=fault.stream_share,
        )
        report = asyncio.run(run_soak(settings, folder))
        is_seen, line = describe_result(fault, report.violations)
        print(f"{line}, logs in {folder}", flush=True)
        n_unseen += not is_seen
    return 1 if n_unseen else 0


if __name__ == "__main__":
    sys.exit(main())
