"""Measure the slopes behind docs/CAPACITY.md: ``make capacity``."""

import argparse
import json
import os
import platform
import random
import subprocess
import sys
import time
from datetime import UTC, datetime
from pathlib import Path

from benchmarks.capacity.fit import fit_line
from benchmarks.capacity.harness import run_probe, run_probe_traced
from benchmarks.capacity.loopback import measure_base_bytes
from benchmarks.capacity.page import fill_page
from benchmarks.capacity.plots import draw_plots
from benchmarks.capacity.probes import PROBES

ROOT = Path(__file__).parents[2]
PAGE_PATH = ROOT / "docs" / "CAPACITY.md"
PLOTS_PATH = ROOT / "docs" / "capacity"
RESULTS_PATH = ROOT / "build" / "capacity.json"
N_REPEATS = 2


def run_timed_pass(seed, n_repeats):
    """Run all probes at all sizes in random order.

    The order keeps a drift of the machine's speed from looking like a slope.

    :param seed: seed of the order and of the probes.
    :param n_repeats: runs at each size.
    :returns: list of pairs of probe name and point.
    """
    runs = [
        (repeat, name, size)
        for repeat in range(n_repeats)
        for name, probe in PROBES.items()
        for size in probe.sizes
    ]
    random.Random(seed).shuffle(runs)
    points = []
    for repeat, name, size in runs:
        values = run_probe(PROBES[name], size, seed + repeat)
        points.append((name, {"size": size, "repeat": repeat, "values": values}))
    return points


def run_traced_pass(seed):
    """Run the probes that have state again with traced allocations."""
    points = []
    for name, probe in PROBES.items():
        if not probe.has_state:
            continue
        for size in probe.sizes:
            values = {"memory": run_probe_traced(probe, size, seed)}
            points.append((name, {"size": size, "repeat": 0, "values": values}))
    return points


def build_results(points):
    """Return the results by probe, with a fit for each measure that is not always 0.

    :param points: pairs of probe name and point.
    """
    results = {}
    for name, probe in PROBES.items():
        probe_points = [point for other, point in points if other == name]
        probe_points.sort(key=lambda point: (point["size"], point["repeat"]))
        measures = sorted({key for point in probe_points for key in point["values"]})
        fits = {}
        for measure in measures:
            pairs = [
                (point["size"], point["values"][measure])
                for point in probe_points
                if measure in point["values"]
            ]
            if any(value for _, value in pairs):
                fits[measure] = fit_line(pairs)._asdict()
        results[name] = {
            "role": probe.role,
            "quantity": probe.quantity,
            "sizes": list(probe.sizes),
            "target": probe.target,
            "units": {measure: probe.get_unit(measure) for measure in fits},
            "points": probe_points,
            "fits": fits,
        }
    return results


def read_commit():
    """Return the abbreviated hash of the checked out commit."""
    command = ["git", "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, cwd=ROOT)
    return result.stdout.strip() or "unknown"


def describe_run(arguments, load):
    """Return command, time, commit and machine of a run."""
    return {
        "command": f"python -m benchmarks.capacity --seed {arguments.seed}",
        "date": datetime.now(UTC).strftime("%Y-%m-%d %H:%M UTC"),
        "commit": read_commit(),
        "seed": arguments.seed,
        "n_repeats": arguments.repeats,
        "n_cores": os.cpu_count(),
        "machine": f"{platform.system()} {platform.machine()}",
        "python": platform.python_version(),
        "load": load,
    }


def print_slopes(results):
    """Print each slope with its standard error."""
    for name, probe in results.items():
        print(f"{name}: {probe['quantity']}, target {probe['target']:g}")
        for measure, fit in probe["fits"].items():
            print(
                f"  {measure:24} {fit['slope']:12.5g} ± {fit['slope_error']:9.3g}"
                f" {probe['units'][measure]:16} fixed {fit['intercept']:10.4g}"
                f"  R² {fit['r2']:.3f}  n {fit['n_points']}"
            )


def main():
    """Run the probes or read the last results, then write plots and page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=N_REPEATS)
    parser.add_argument(
        "--fill", action="store_true", help="fill the page from the last run's results"
    )
    arguments = parser.parse_args()
    results = read_results() if arguments.fill else run_all(arguments)
    draw_plots(results["probes"], PLOTS_PATH)
    PAGE_PATH.write_text(fill_page(PAGE_PATH.read_text(), results))
    return 0


def read_results():
    """Return the results of the last run."""
    return json.loads(RESULTS_PATH.read_text())


def run_all(arguments):
    """Run all probes, print the slopes and write the results."""
    begin = time.monotonic()
    run = describe_run(arguments, round(os.getloadavg()[0], 1))
    points = run_timed_pass(arguments.seed, arguments.repeats)
    points += run_traced_pass(arguments.seed)
    probes = build_results(points)
    run["took_s"] = time.monotonic() - begin
    print_slopes(probes)
    results = {
        "run": run,
        "constants": {"base_bytes": measure_base_bytes()},
        "probes": probes,
    }
    RESULTS_PATH.parent.mkdir(exist_ok=True)
    RESULTS_PATH.write_text(json.dumps(results, indent=1))
    return results


if __name__ == "__main__":
    sys.exit(main())
