"""Parts of docs/CAPACITY.md that are filled from a run."""

import re
from textwrap import fill

from benchmarks.capacity.costs import (
    find_message_cost,
    list_lines,
    sum_rest,
    sum_role,
)
from benchmarks.capacity.rows import (
    BUDGETS,
    DATA_ROWS,
    MEMORY,
    PROCESSOR,
    ROLE_ROWS,
    TRAFFIC,
    UNITS,
)
from benchmarks.capacity.words import PARAGRAPHS

HEAD = (
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
    """The page has no pair of markers of a name."""


def fill_part(text, name, content):
    """Replace what stands between the markers of a name.

    :param text: the whole page.
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
        parts[role] = make_role_table(role, probes, constants)
    parts["data"] = make_data_table(probes)
    parts["slopes"] = make_slope_table(probes)
    parts["over"] = make_over_list(probes, constants)
    for name, describe in PARAGRAPHS.items():
        parts[name] = wrap_paragraphs(describe(probes, constants))
    for name, content in parts.items():
        text = fill_part(text, name, content)
    return text


def wrap_paragraphs(text):
    """Return text with its paragraphs wrapped; tables stay as they are."""
    return "\n\n".join(
        part if part.startswith("|") else fill(part, 88, break_on_hyphens=False)
        for part in text.split("\n\n")
    )


def make_table(head, rows):
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(
        "| " + " | ".join(str(cell).replace("|", "\\|") for cell in line) + " |"
        for line in lines
    )


def format_number(value):
    """Return a number with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    digits = 2 if abs(value) >= 10 else 3
    return f"{value:.{digits}g}" if abs(value) < 100 else f"{value:.0f}"


def format_value(line, position, budget):
    """Return the cost of a line at one of its sizes."""
    row = line.row
    size = f"{format_number(row.sizes[position])}"
    if row.times[position] != 1:
        size += f" × {format_number(row.times[position])}"
    value = format_number(line.values[position])
    mark = "**over**, " if budget and line.values[position] > budget else ""
    return f"{mark}{value} {UNITS[line.kind]} at {size}"


def format_room(value, budget):
    """Return the part of the budget that is left, or by how much it is exceeded."""
    if value > budget:
        return f"over, {format_number(value / budget)} times the budget"
    return f"{100 * (1 - value / budget):.0f}%"


def make_line(line, budget):
    """Return the cells of one line."""
    room = "-"
    if budget:
        room = " / ".join(format_room(value, budget) for value in line.values)
    return [
        line.quantity,
        line.row.growth,
        line.kind,
        f"{format_number(line.slope)} ± {format_number(line.slope_error)} {line.unit}",
        f"{line.r2:.3f}",
        format_value(line, 0, budget),
        format_value(line, 1, budget),
        f"{budget} {UNITS[line.kind]}" if budget else "none (data)",
        room,
        line.row.mechanism,
    ]


def make_role_table(role, probes, constants):
    """Return the table of a role with its sums."""
    rows = [
        make_line(line, BUDGETS[line.kind])
        for row in ROLE_ROWS[role]
        for line in list_lines(row, probes)
    ]
    for kind, values in sum_role(role, probes, constants).items():
        budget = BUDGETS[kind]
        cells = [
            f"{'**over**, ' if value > budget else ''}"
            f"{format_number(value)} {UNITS[kind]}"
            for value in values
        ]
        room = " / ".join(format_room(value, budget) for value in values)
        note = "sum of the rows above"
        if kind == MEMORY and role != "dispatcher":
            note += ", the loaded program and the unpacked pex file"
        rows.append(
            [f"**{role}, sum**", note, kind, "-", "-", *cells]
            + [f"{budget} {UNITS[kind]}", room, "-"]
        )
    return make_table(HEAD, rows)


def make_data_table(probes):
    """Return the table of the messages that carry requests and responses."""
    rows = [
        [row.role, *make_line(line, None)]
        for row in DATA_ROWS
        for line in list_lines(row, probes)
    ]
    return make_table(("role", *HEAD), rows)


def make_slope_table(probes):
    """Return every slope of the run with its plot."""
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
    return make_table((*head, "slope ± error", "intercept", "R²", "points"), rows)


def make_over_list(probes, constants):
    """Return the rows and sums that are over their budget."""
    items = []
    for role, rows in ROLE_ROWS.items():
        for row in rows:
            for line in list_lines(row, probes):
                name = f"{role}, {line.quantity}, {line.kind}"
                note = row.mechanism
                if line.kind == TRAFFIC:
                    note = f"{describe_directions(line)}; {note}"
                items += describe_over(name, line.kind, line.values, note)
        rest = sum_rest(role, probes)
        for kind, values in sum_role(role, probes, constants).items():
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
    """Return the parts of a line's traffic that are sent and received."""
    pairs = zip(line.values, line.received, strict=True)
    told = [
        f"{format_number(value - received)} + {format_number(received)}"
        for value, received in pairs
    ]
    return f"sent + received {told[0]} in cells, {told[1]} as built"


def describe_over(name, kind, values, note):
    """Return a list item if one of the two values is over the budget."""
    budget = BUDGETS[kind]
    if max(values) <= budget:
        return []
    told = [
        f"{'over' if value > budget else 'within'} {where} "
        f"({format_number(value)} of {budget} {UNITS[kind]})"
        for value, where in zip(values, ("in cells", "as built"), strict=True)
    ]
    return [f"- {name}: {', '.join(told)}; {note}."]


def describe_run(run):
    """Return which run has filled the page."""
    return (
        f"Filled by `{run['command']}` on {run['date']}, commit {run['commit']}, seed "
        f"{run['seed']}, {run['n_repeats']} runs at each size, {run['n_cores']} cores "
        f"({run['machine']}), Python {run['python']}, load average {run['load']} at "
        f"the start; the run took {run['took_s']:.0f} s. All figures between markers "
        "on this page come from that run."
    )


def describe_transport(probes):
    """Return the processor time that one end of a message takes."""
    fits = probes["loop_messages"]["fits"]
    loop, pynng = (
        f"{fits[name]['slope'] * 1000:.0f} ± {fits[name]['slope_error'] * 1000:.0f} µs"
        for name in ("loop", "pynng")
    )
    return (
        f"Sending and receiving one message takes {loop} in the event loop and {pynng} "
        f"in pynng's threads, without encoding and decoding; each end counts for half, "
        f"{find_message_cost(probes) * 1000:.0f} µs."
    )
