"""Differences between the routes of two configurations.

Routes are matched by what requests see of them, their host and prefix; a name only
appears in the explanation.
"""

from catkinfork.topology import STREAMING, limit_detail
from catkinfork.validation._findings import NOTE, Finding, quote
from catkinfork.validation._routes import index_routes

_TIMES = {
    "timeout_s": "timeout",
    "latency_target_s": "latency target",
    "max_event_gap_s": "longest pause between events",
}
KEPT = "running requests keep what held on their arrival"


def describe_route_changes(old, new):
    """Return a note for each removed, added and changed route.

    :param old: :class:`ConfigurationView`.
    :param new: :class:`ConfigurationView` of the new configuration.
    """
    before, after = index_routes(old.configuration), index_routes(new.configuration)
    section = new.paths.locate("routes")
    notes = [
        Finding(NOTE, section, describe_removal(route, new.table))
        for key, (_, route) in before.items()
        if key not in after
    ]
    for key, (index, route) in after.items():
        if key not in before:
            path = new.paths.locate("routes", index)
            notes.append(Finding(NOTE, path, describe_addition(route, old.table)))
            continue
        for field, text in list_route_changes(before[key][1], route):
            path = new.paths.locate("routes", index, field)
            notes.append(Finding(NOTE, path, f"route {quote(route.name)}: {text}"))
    return notes


def describe_removal(route, table):
    """Describe the effect of a route that is removed.

    :param table: :class:`RouteTable` of the new configuration.
    """
    other = table.find(route.host, route.prefix)
    effect = (
        "are refused (404)" if other is None else f"go to route {quote(other.name)}"
    )
    return f"{describe_route(route)} removed: new requests {effect}; {KEPT}"


def describe_addition(route, table):
    """Describe the effect of a route that is added.

    :param table: :class:`RouteTable` of the configuration in force.
    """
    other = table.find(route.host, route.prefix)
    effect = (
        ""
        if other is None
        else f": takes requests of route {quote(other.name)}; {KEPT}"
    )
    return f"{describe_route(route)} added{effect}"


def describe_route(route):
    """Return the name, the host and the prefix of a route."""
    return f"route {quote(route.name)} ({limit_detail(route.host + route.prefix)})"


def list_route_changes(before, after):
    """Return the field and the description of each change of a route."""
    changes = []
    if before.targets != after.targets:
        changes.append(("targets", describe_move(before, after)))
    for field, noun in _TIMES.items():
        old_s, new_s = getattr(before, field), getattr(after, field)
        if old_s != new_s:
            verb = "shortened" if new_s < old_s else "extended"
            text = f"{noun} {verb}, {old_s:g} s -> {new_s:g} s; {KEPT}"
            changes.append((field, text))
    for field in ("name", "kind", "max_attempts"):
        old_value, new_value = getattr(before, field), getattr(after, field)
        if old_value != new_value:
            text = f"{field.replace('_', ' ')} {quote(old_value)} -> {quote(new_value)}"
            text += f"; {KEPT}"
            changes.append((field, text))
    return changes + list_flag_changes(before, after)


def describe_move(before, after):
    """Describe requests that move to other services."""
    text = f"moved, {describe_targets(before)} -> {describe_targets(after)}; "
    text += "running requests finish at their service"
    if STREAMING in (before.kind, after.kind) and before.is_resumable:
        text += "; streams of an earlier service that a caller resumes may be refused"
    return text


def describe_targets(route):
    """Return the services of a route, with their weights if there are several."""
    if len(route.targets) == 1:
        return route.targets[0].service
    return " + ".join(f"{share.service} ({share.weight:g})" for share in route.targets)


def list_flag_changes(before, after):
    """Return the field and the description of each changed flag of a route."""
    texts = {
        "is_public": ("new requests need a key", "new requests need no key"),
        "is_resumable": (
            "new streams are not resumed, nor are earlier ones for their callers",
            "new streams may be resumed",
        ),
        "has_prompt": (
            "prompt parts of new requests are ignored",
            "new requests declare the parts of their prompt",
        ),
    }
    return [
        (field, texts[field][getattr(after, field)] + f"; {KEPT}")
        for field in texts
        if getattr(before, field) != getattr(after, field)
    ]
