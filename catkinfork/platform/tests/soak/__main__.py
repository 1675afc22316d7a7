"""Runs a soak: ``python -m catkinfork.platform.tests.soak --seed 1 --kind hard``."""

import argparse
import asyncio
import sys
import tempfile
from pathlib import Path

from catkinfork.platform.tests.soak.plan import make_plan
from catkinfork.platform.tests.soak.run import run_soak
from catkinfork.platform.tests.soak.settings import (
    KINDS,
    RESTART_DELAY_S,
    ROOT,
    SoakSettings,
)


def read_arguments():
    """Return the arguments of the command line."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--kind", choices=KINDS, default="hard")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--n-forwarders", type=int, default=4)
    parser.add_argument("--n-clients", type=int, default=60)
    parser.add_argument("--source", type=Path, default=ROOT)
    parser.add_argument("--stream-share", type=float, default=0.3)
    parser.add_argument("--restart-delay", type=float, default=RESTART_DELAY_S)
    parser.add_argument("--plan", action="store_true", help="print the plan only")
    return parser.parse_args()


def main():
    """Run a soak and exit with 1 if a promise was broken."""
    arguments = read_arguments()
    settings = SoakSettings(
        arguments.kind,
        arguments.seed,
        arguments.seconds,
        arguments.n_forwarders,
        arguments.n_clients,
        arguments.source.resolve(),
        arguments.stream_share,
        arguments.restart_delay,
    )
    plan = make_plan(settings.kind, settings.seed, settings.n_seconds, settings.n_hosts)
    if arguments.plan:
        print("\n".join(step.describe() for step in plan))
        return 0
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    print(f"{settings}, logs in {folder}", flush=True)
    report = asyncio.run(run_soak(settings, folder))
    text = "\n".join(report.list_lines())
    (folder / "report.txt").write_text(text + "\n")
    print(text)
    return 1 if report.violations else 0


if __name__ == "__main__":
    sys.exit(main())
