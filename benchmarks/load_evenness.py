"""Evenness of the load of engines as forwarders choose with stale views.

``python -m benchmarks.load_evenness [--seed N] [--hosts N...] [--intervals MS...]
[--engines N] [--load X] [--span S] [--choices NAME...]`` prints a table. Each row is a
run of the same workload with another choice among the engines. Unless stated, there are
as many engines as forwarders, 60 at most. A forwarder sends a frame every n / 400 s,
with n forwarders, or less often if the interval is longer.
"""

import argparse
import time

from benchmarks.even_choices import CHOICES
from benchmarks.even_fleet import EvenFleet

SIZES = (4, 28, 68, 388)
INTERVALS_MS = (0, 100, 400)
MAX_ENGINES = 60
SETTLE_S = 3.0
SPAN_S = 4.0
LOAD = 0.7
COLUMNS = (
    ("deviation", "{:.2f}"),
    ("maximum", "{:.2f}"),
    ("flying_deviation", "{:.2f}"),
    ("flying_maximum", "{:.2f}"),
    ("uneven", "{:.2f}"),
    ("wasted", "{:.3f}"),
    ("mean_tokens", "{:.0f}"),
    ("median_ms", "{:.0f}"),
    ("p95_ms", "{:.0f}"),
    ("on_time", "{:.3f}"),
    ("repeated", "{:.3f}"),
    ("n_jobs", "{}"),
)


def measure(choice, n_hosts, interval_s, options):
    """Return the figures of one run.

    :param choice: name of an alternative of :data:`CHOICES`.
    :param n_hosts: number of forwarders.
    :param interval_s: time between two frames of a forwarder at least, seconds.
    :param options: ``engines``, ``load``, ``span`` and ``seed``.
    """
    n_engines = options.engines or min(n_hosts, MAX_ENGINES)
    fleet = EvenFleet(n_hosts, n_engines, interval_s, options.seed, CHOICES[choice])
    record = fleet.run(options.load, SETTLE_S, options.span, options.seed)
    return record.summarize() | {
        "age_ms": 1000 * sum(fleet.ages) / len(fleet.ages),
        "bytes_per_s": fleet.n_frame_bytes / n_hosts / fleet.now,
    }


def parse_options(arguments):
    """Return the options of the command line."""
    parser = argparse.ArgumentParser(prog="benchmarks.load_evenness")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hosts", type=int, nargs="+", default=SIZES)
    parser.add_argument("--intervals", type=float, nargs="+", default=INTERVALS_MS)
    parser.add_argument("--engines", type=int, default=0)
    parser.add_argument("--load", type=float, default=LOAD)
    parser.add_argument("--span", type=float, default=SPAN_S)
    parser.add_argument("--choices", nargs="+", default=list(CHOICES))
    return parser.parse_args(arguments)


def main(arguments=None):
    """Measure all alternatives and print a table."""
    options = parse_options(arguments)
    print(f"seed {options.seed}, load {options.load}, {options.span} s")
    names = [name for name, _ in COLUMNS]
    heads = ["hosts", "frames, ms", "choice", *names, "oldest, ms", "bytes/s", "s"]
    print("|", " | ".join(heads), "|")
    print("|" + "---|" * len(heads))
    for n_hosts in options.hosts:
        for interval_ms in options.intervals:
            for choice in options.choices:
                started_at = time.process_time()
                figures = measure(choice, n_hosts, interval_ms / 1000, options)
                values = [text.format(figures[name]) for name, text in COLUMNS]
                values += [f"{figures['age_ms']:.0f}", f"{figures['bytes_per_s']:.0f}"]
                values.append(f"{time.process_time() - started_at:.1f}")
                row = [str(n_hosts), f"{interval_ms:g}", choice, *values]
                print("|", " | ".join(row), "|", flush=True)


if __name__ == "__main__":
    main()
