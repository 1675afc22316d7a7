"""Generates the Markdown catalogue of the log events."""

_INTRODUCTION = """\
# Log events

A process writes each event as one line, as plain text or as JSON (setting `format` of
`[log]`; `level` sets the lowest level that is written). A forwarder writes to standard
output, a router and an agent to standard error. A JSON line has the keys `time` (UTC),
`level`, `event` (the number), `name`, `process` (internal address, or name of the host
for a forwarder) and the fields below. A plain line begins with the time, the level, `E`
followed by the number, the name and the process. The metric `catkinfork_events` counts
the events by number, whether they are written or not.

Numbers and names are stable; the hundreds of a number identify the package. Fields
whose names end in `_s` are in seconds, in `_ms` in milliseconds, in `_bytes` in bytes;
those whose names begin with `n_` are counts.

`catkinfork events` prints this page.
"""


def format_catalogue(packages):
    """Return the catalogue of log events as Markdown.

    :param packages: maps the name of a package to its events.
    """
    return "\n".join([_INTRODUCTION, *map(format_package, packages, packages.values())])


def format_package(name, events):
    """Return the events of a package as a heading and a table.

    :param name: name of the package.
    :param events: the package's :class:`Event` entries.
    """
    lines = [f"## {name}", "", "| number | level | name | meaning | fields |"]
    lines.append("|---|---|---|---|---|")
    for event in sorted(events):
        fields = ", ".join(f"`{field}`" for field in event.fields)
        cells = (event.number, event.level, f"`{event.name}`", event.text, fields)
        lines.append(f"| {' | '.join(map(str, cells))} |")
    return "\n".join([*lines, ""])
