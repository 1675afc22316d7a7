"""Costs of the rows at the target size, estimated from the slopes of a run."""

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

# Factors from the unit of a measure to the unit of the budget.
UNIT_FACTORS = {PROCESSOR: 0.1, TRAFFIC: 1e-3, MEMORY: 1e-6, MESSAGES: 1.0}
RECEIVED_MEASURES = ("received_bytes", "data_received_bytes", "reply")


class CostLine(NamedTuple):
    """One kind of cost of one row.

    :param slope: sum of the slopes of its measures, in ``unit``.
    :param slope_error: standard error of ``slope``.
    :param r2: smallest coefficient of determination among the measures that grow.
    :param n_messages: messages a second, in cells and as built.
    :param values: cost in the unit of the budget, in cells and as built. A negative
        cost, from a slope below 0 within its error, counts as 0.
    :param received: received traffic that ``values`` include.
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


def estimate_message_cost(probes):
    """Return the processor time of event loop and pynng at one end of a message, ms.

    The probe has both ends in one process, so half of the sum counts for each.
    """
    fits = probes["loop_messages"]["fits"]
    return (fits["loop"]["slope"] + fits["pynng"]["slope"]) / 2


def list_cost_lines(row, probes):
    """Return a :class:`CostLine` for each kind of cost that a row's probe measured."""
    probe = probes[row.probe]
    lines = []
    messages = combine_measures(row, probe, row.measures.get(MESSAGES, ()))
    for kind in BUDGETS:
        names = [name for name in row.measures.get(kind, ()) if name in probe["fits"]]
        if not names:
            continue
        # Memory is held permanently, so the rate of the cost does not apply.
        factor = 1.0 if kind == MEMORY else row.factor
        cost = combine_measures(row, probe, names)
        values = [
            max(0.0, value * factor * UNIT_FACTORS[kind]) for value in cost.values
        ]
        received_names = [name for name in names if name in RECEIVED_MEASURES]
        received = [
            value * factor * UNIT_FACTORS[kind]
            for value in combine_measures(row, probe, received_names).values
        ]
        n_messages = tuple(value * row.factor for value in messages.values)
        if kind == PROCESSOR:
            for position, count in enumerate(n_messages):
                ms = count * estimate_message_cost(probes)
                values[position] += ms * UNIT_FACTORS[PROCESSOR]
        unit = probe["units"][names[0]]
        line = CostLine(
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


class CombinedCost(NamedTuple):
    """Sum of some measures of a probe, at the sizes of a row.

    :param slope: sum of the slopes.
    :param slope_error: standard error of ``slope``.
    :param r2: smallest coefficient of determination among the measures that grow.
    :param values: cost at the sizes of the row, in the unit of the measures.
    """

    slope: float
    slope_error: float
    r2: float
    values: tuple[float, ...]


def combine_measures(row, probe, names):
    """Return the sum of some measures as :class:`CombinedCost`.

    Measures that the run did not observe count as 0.
    """
    fits = [probe["fits"][name] for name in names if name in probe["fits"]]
    slope = sum(fit["slope"] for fit in fits)
    intercept = sum(fit["intercept"] for fit in fits) if row.has_fixed else 0.0
    error = hypot(*(fit["slope_error"] for fit in fits)) if fits else 0.0
    r2_of_growing = [fit["r2"] for fit in fits if fit["slope"] != 0]
    values = tuple(
        (intercept + slope * size) * times
        for size, times in zip(row.sizes, row.times, strict=True)
    )
    return CombinedCost(slope, error, min(r2_of_growing, default=1.0), values)


def sum_rows_within_budget(role, probes):
    """Return the sums of a role without the lines that exceed the budget alone."""
    sums = {kind: [0.0, 0.0] for kind in BUDGETS}
    for row in ROLE_ROWS[role]:
        for line in list_cost_lines(row, probes) if row.is_summed else ():
            for position, value in enumerate(line.values):
                if value <= BUDGETS[line.kind]:
                    sums[line.kind][position] += value
    return sums


def sum_role_costs(role, probes, constants):
    """Return the sums of a role by kind of cost, in cells and as built.

    :param constants: constants of the run; ``base_bytes`` is the resident memory of a
        process that has loaded the program.
    """
    sums = {kind: [0.0, 0.0] for kind in BUDGETS}
    for row in ROLE_ROWS[role]:
        if not row.is_summed:
            continue
        for line in list_cost_lines(row, probes):
            for position in range(2):
                sums[line.kind][position] += line.values[position]
    if role != "dispatcher":
        base = constants["base_bytes"] * 1e-6 + targets.UNPACKED_MB
        sums[MEMORY] = [value + base for value in sums[MEMORY]]
    return sums
