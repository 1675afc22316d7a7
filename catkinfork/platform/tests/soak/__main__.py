"""Runs a soak: ``python -m catkinfork.platform.tests.soak --seed 1 --kind hard``."""

import argparse
import asyncio
import resource
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

# Descriptors of the driver for each caller and host: connections of both ends, logs.
N_DESCRIPTORS_PER_CLIENT = 6
N_DESCRIPTORS_PER_HOST = 60
MIN_SECONDS = 10.0


class ArgumentParser(argparse.ArgumentParser):
    """A parser that reports a bad command line in one line."""

    def error(self, message):
        self.exit(2, f"{self.prog}: {message}\n")


def read_arguments(words=None):
    """Return the arguments of the command line.

    :raises SystemExit: with code 2 if the run could not be what they ask for.
    """
    parser = ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--kind", choices=KINDS, default="hard")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--n-forwarders", type=int, default=4)
    parser.add_argument("--n-clients", type=int, default=60)
    parser.add_argument("--source", type=Path, default=ROOT)
    parser.add_argument("--stream-share", type=float, default=0.3)
    parser.add_argument("--restart-delay", type=float, default=RESTART_DELAY_S)
    parser.add_argument("--plan", action="store_true", help="print the plan only")
    arguments = parser.parse_args(words)
    problem = find_problem(arguments)
    if problem:
        parser.error(problem)
    return arguments


def find_problem(arguments):
    """Return why a run is not possible, or ""."""
    template = arguments.source / "deploy" / "forwarder.ini.template"
    n_needed = (
        N_DESCRIPTORS_PER_CLIENT * arguments.n_clients
        + N_DESCRIPTORS_PER_HOST * arguments.n_forwarders
    )
    n_allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if not template.is_file():
        return f"--source {arguments.source}: no checkout of the forwarder"
    if arguments.n_forwarders < 1 or arguments.n_clients < 1:
        return "--n-forwarders and --n-clients: at least 1"
    if not arguments.seconds >= MIN_SECONDS:
        return f"--seconds {arguments.seconds}: at least {MIN_SECONDS:.0f}"
    if not 0.0 <= arguments.stream_share <= 1.0:
        return f"--stream-share {arguments.stream_share}: between 0 and 1"
    if n_allowed != resource.RLIM_INFINITY and n_allowed < n_needed:
        return f"needs {n_needed} descriptors, the limit is {n_allowed} (ulimit -n)"
    return ""


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
