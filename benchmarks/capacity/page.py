"""Parts of docs/CAPACITY.md that are generated from a run."""

import re
from textwrap import fill

from benchmarks.capacity.costs import (
    estimate_message_cost,
    list_cost_lines,
    sum_role_costs,
    sum_rows_within_budget,
)
from benchmarks.capacity.paragraphs import PARAGRAPHS
from benchmarks.capacity.rows import (
    BUDGETS,
    DATA_ROWS,
    MEMORY,
    PROCESSOR,
    ROLE_ROWS,
    TRAFFIC,
    UNITS,
)

COLUMNS = (
    "quantity",
    "how it grows",
    "cost",
    "slope ± standard error",
    "R²",
    "in cells (designed)",
    "as built",
    "budget",
    "head room in cells / as built",
    "mechanism that carries it",
)


class MissingMarkerError(ValueError):
    """The page lacks the pair of markers of a part."""


def fill_part(text, name, content):
    """Replace the text between the markers of a part.

    :param text: the whole page.
    :param name: name of the part.
    :param content: new text of the part.
    :returns: the page with the new text.
    :raises MissingMarkerError: if the page lacks the pair of markers.
    """
    begin, end = f"<!-- capacity:{name} -->", f"<!-- /capacity:{name} -->"
    pattern = re.compile(f"{re.escape(begin)}.*?{re.escape(end)}", re.DOTALL)
    if not pattern.search(text):
        raise MissingMarkerError(f"no markers {begin} ... {end}")
    return pattern.sub(lambda match: f"{begin}\n{content}\n{end}", text, count=1)


def fill_page(text, results):
    """Fill all parts of the page from the results of a run."""
    probes, constants = results["probes"], results["constants"]
    parts = {
        "run": describe_run(results["run"]),
        "transport": describe_transport(probes),
    }
    for role in ROLE_ROWS:
        parts[role] = build_role_table(role, probes, constants)
    parts["data"] = build_data_table(probes)
    parts["slopes"] = build_slope_table(probes)
    parts["over"] = build_over_list(probes, constants)
    for name, describe in PARAGRAPHS.items():
        parts[name] = wrap_paragraphs(describe(probes, constants))
    for name, content in parts.items():
        text = fill_part(text, name, content)
    return text


def wrap_paragraphs(text):
    """Return text with wrapped paragraphs and unchanged tables."""
    return "\n\n".join(
        part if part.startswith("|") else fill(part, 88, break_on_hyphens=False)
        for part in text.split("\n\n")
    )


def build_table(head, rows):
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(
        "| " + " | ".join(str(cell).replace("|", "\\|") for cell in line) + " |"
        for line in lines
    )


def format_number(value):
    """Return a number with two or three significant digits, or as whole number."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = 2 if abs(value) >= 10 else 3
    return f"{value:.{digits}g}" if abs(value) < 100 else f"{value:.0f}"


def format_value(line, position, budget):
    """Return the cost of a line at one of its sizes, marked if over the budget."""
    row = line.row
    size = f"{format_number(row.sizes[position])}"
    if row.times[position] != 1:
        size += f" × {format_number(row.times[position])}"
    value = format_number(line.values[position])
    mark = "**over**, " if budget and line.values[position] > budget else ""
    return f"{mark}{value} {UNITS[line.kind]} at {size}"


def format_headroom(value, budget):
    """Return the remaining percentage of the budget, or the excess as a factor."""
    if value > budget:
        return f"over, {format_number(value / budget)} times the budget"
    return f"{100 * (1 - value / budget):.0f}%"


def build_line_cells(line, budget):
    """Return the table cells of a cost line."""
    headroom = "-"
    if budget:
        headroom = " / ".join(format_headroom(value, budget) for value in line.values)
    return [
        line.quantity,
        line.row.growth,
        line.kind,
        f"{format_number(line.slope)} ± {format_number(line.slope_error)} {line.unit}",
        f"{line.r2:.3f}",
        format_value(line, 0, budget),
        format_value(line, 1, budget),
        f"{budget} {UNITS[line.kind]}" if budget else "none (data)",
        headroom,
        line.row.mechanism,
    ]


def build_role_table(role, probes, constants):
    """Return the table of a role with a row for each sum."""
    rows = [
        build_line_cells(line, BUDGETS[line.kind])
        for row in ROLE_ROWS[role]
        for line in list_cost_lines(row, probes)
    ]
    for kind, values in sum_role_costs(role, probes, constants).items():
        budget = BUDGETS[kind]
        cells = [
            f"{'**over**, ' if value > budget else ''}"
            f"{format_number(value)} {UNITS[kind]}"
            for value in values
        ]
        headroom = " / ".join(format_headroom(value, budget) for value in values)
        note = "sum of the rows above"
        if kind == MEMORY and role != "dispatcher":
            note += ", the loaded program and the unpacked pex file"
        rows.append(
            [f"**{role}, sum**", note, kind, "-", "-", *cells]
            + [f"{budget} {UNITS[kind]}", headroom, "-"]
        )
    return build_table(COLUMNS, rows)


def build_data_table(probes):
    """Return the table of costs of messages that carry requests and responses."""
    rows = [
        [row.role, *build_line_cells(line, None)]
        for row in DATA_ROWS
        for line in list_cost_lines(row, probes)
    ]
    return build_table(("role", *COLUMNS), rows)


def build_slope_table(probes):
    """Return the table of all slopes of the run, with links to the plots."""
    rows = []
    for name, probe in probes.items():
        sizes = ", ".join(format_number(size) for size in probe["sizes"])
        for measure, fit in probe["fits"].items():
            rows.append(
                [
                    f"[{name}](capacity/{name}.svg)",
                    probe["quantity"],
                    sizes,
                    format_number(probe["target"]),
                    measure.replace("_", " "),
                    f"{format_number(fit['slope'])} ± "
                    f"{format_number(fit['slope_error'])} {probe['units'][measure]}",
                    format_number(fit["intercept"]),
                    f"{fit['r2']:.3f}",
                    fit["n_points"],
                ]
            )
    head = ("probe and plot", "quantity", "sizes", "target", "measure")
    return build_table((*head, "slope ± error", "intercept", "R²", "points"), rows)


def build_over_list(probes, constants):
    """Return a list of the rows and sums that are over their budget."""
    items = []
    for role, rows in ROLE_ROWS.items():
        for row in rows:
            for line in list_cost_lines(row, probes):
                name = f"{role}, {line.quantity}, {line.kind}"
                note = row.mechanism
                if line.kind == TRAFFIC:
                    note = f"{describe_directions(line)}; {note}"
                items += describe_over(name, line.kind, line.values, note)
        rest = sum_rows_within_budget(role, probes)
        for kind, values in sum_role_costs(role, probes, constants).items():
            left = " and ".join(format_number(value) for value in rest[kind])
            note = f"the rows that are not over alone make {left} {UNITS[kind]}"
            if kind == PROCESSOR:
                note += (
                    "; is to fall by fewer probes and one frame for all messages of a "
                    "tick to a peer (neither is built or measured)"
                )
            items += describe_over(f"**{role}, sum**, {kind}", kind, values, note)
    return "\n".join(items) or "None."


def describe_directions(line):
    """Return a line's traffic split into sent and received."""
    pairs = zip(line.values, line.received, strict=True)
    descriptions = [
        f"{format_number(value - received)} + {format_number(received)}"
        for value, received in pairs
    ]
    return f"sent + received {descriptions[0]} in cells, {descriptions[1]} as built"


def describe_over(name, kind, values, note):
    """Return a list with one item if a value is over the budget, else an empty list."""
    budget = BUDGETS[kind]
    if max(values) <= budget:
        return []
    descriptions = [
        f"{'over' if value > budget else 'within'} {where} "
        f"({format_number(value)} of {budget} {UNITS[kind]})"
        for value, where in zip(values, ("in cells", "as built"), strict=True)
    ]
    return [f"- {name}: {', '.join(descriptions)}; {note}."]


def describe_run(run):
    """Return the paragraph that identifies the run behind the page."""
    return (
        f"Filled by `{run['command']}` on {run['date']}, commit {run['commit']}, seed "
        f"{run['seed']}, {run['n_repeats']} runs at each size, {run['n_cores']} cores "
        f"({run['machine']}), Python {run['python']}, load average {run['load']} at "
        f"the start; the run took {run['took_s']:.0f} s. All figures between markers "
        "on this page come from that run."
    )


def describe_transport(probes):
    """Return the paragraph on the processor time of one end of a message."""
    fits = probes["loop_messages"]["fits"]
    loop, pynng = (
        f"{fits[name]['slope'] * 1000:.0f} ± {fits[name]['slope_error'] * 1000:.0f} µs"
        for name in ("loop", "pynng")
    )
    return (
        f"Sending and receiving one message takes {loop} in the event loop and {pynng} "
        f"in pynng's threads, without encoding and decoding; each end counts for half, "
        f"{estimate_message_cost(probes) * 1000:.0f} µs."
    )
