"""Costs of the rows at the target size, from the slopes of a run."""

from math import hypot
from typing import NamedTuple

from benchmarks.capacity import targets
from benchmarks.capacity.rows import (
    BUDGETS,
    MEMORY,
    MESSAGES,
    PROCESSOR,
    ROLE_ROWS,
    TRAFFIC,
    Row,
)

# From the unit of a measure to the unit of the budget.
SCALES = {PROCESSOR: 0.1, TRAFFIC: 1e-3, MEMORY: 1e-6, MESSAGES: 1.0}
INCOMING = ("received_bytes", "data_received_bytes", "reply")


class Line(NamedTuple):
    """One cost of one row.

    :param slope: sum of the slopes of its measures, in their own unit.
    :param slope_error: standard error of ``slope``.
    :param r2: smallest of the measures that grow.
    :param values: cost in the unit of the budget, in cells and as built. A slope
        below 0, within its error, counts as 0.
    :param received: part of ``values`` that is received traffic.
    """

    row: Row
    quantity: str
    kind: str
    unit: str
    slope: float
    slope_error: float
    r2: float
    n_messages: tuple[float, float]
    values: tuple[float, float]
    received: tuple[float, float]


def find_message_cost(probes):
    """Return the processor time of the loop and pynng at one end of a message, ms.

    Both ends are in one process in the run, so half of the sum counts for each.
    """
    fits = probes["loop_messages"]["fits"]
    return (fits["loop"]["slope"] + fits["pynng"]["slope"]) / 2


def list_lines(row, probes):
    """Return the :class:`Line` of each cost of a row that its probe has measured."""
    probe = probes[row.probe]
    lines = []
    messages = combine(row, probe, row.measures.get(MESSAGES, ()))
    for kind in BUDGETS:
        names = [name for name in row.measures.get(kind, ()) if name in probe["fits"]]
        if not names:
            continue
        # Memory is held all the time, not for each change.
        factor = 1.0 if kind == MEMORY else row.factor
        cost = combine(row, probe, names)
        values = [max(0.0, value * factor * SCALES[kind]) for value in cost.values]
        incoming = [name for name in names if name in INCOMING]
        received = [
            value * factor * SCALES[kind]
            for value in combine(row, probe, incoming).values
        ]
        n_messages = tuple(value * row.factor for value in messages.values)
        if kind == PROCESSOR:
            for position, count in enumerate(n_messages):
                ms = count * find_message_cost(probes)
                values[position] += ms * SCALES[PROCESSOR]
        unit = probe["units"][names[0]]
        line = Line(
            row,
            row.label or probe["quantity"],
            kind,
            unit,
            cost.slope,
            cost.slope_error,
            cost.r2,
            n_messages,
            tuple(values),
            tuple(received),
        )
        lines.append(line)
    return lines


class Cost(NamedTuple):
    """Sum of some measures of a probe, at the sizes of a row."""

    slope: float
    slope_error: float
    r2: float
    values: tuple[float, ...]


def combine(row, probe, names):
    """Return the :class:`Cost` of some measures; those that were not seen are 0."""
    fits = [probe["fits"][name] for name in names if name in probe["fits"]]
    slope = sum(fit["slope"] for fit in fits)
    fixed = sum(fit["intercept"] for fit in fits) if row.has_fixed else 0.0
    error = hypot(*(fit["slope_error"] for fit in fits)) if fits else 0.0
    growing = [fit["r2"] for fit in fits if fit["slope"] != 0]
    values = tuple(
        (fixed + slope * size) * times
        for size, times in zip(row.sizes, row.times, strict=True)
    )
    return Cost(slope, error, min(growing, default=1.0), values)


def sum_rest(role, probes):
    """Return the sums of a role without the lines that are over the budget alone."""
    sums = {kind: [0.0, 0.0] for kind in BUDGETS}
    for row in ROLE_ROWS[role]:
        for line in list_lines(row, probes) if row.is_summed else ():
            for position, value in enumerate(line.values):
                if value <= BUDGETS[line.kind]:
                    sums[line.kind][position] += value
    return sums


def sum_role(role, probes, constants):
    """Return the sums of a role: mapping from kind to values in cells and as built."""
    sums = {kind: [0.0, 0.0] for kind in BUDGETS}
    for row in ROLE_ROWS[role]:
        if not row.is_summed:
            continue
        for line in list_lines(row, probes):
            for position in range(2):
                sums[line.kind][position] += line.values[position]
    if role != "dispatcher":
        base = constants["base_bytes"] * 1e-6 + targets.UNPACKED_MB
        sums[MEMORY] = [value + base for value in sums[MEMORY]]
    return sums
