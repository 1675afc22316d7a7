"""Differences from the configuration in force, and their effect on running requests.

A request keeps the route, the service and the workspace that it had on arrival, so that
changes of routes and keys apply to requests that arrive later. Limits of callers and of
services apply at once.
"""

from catkinfork.topology import RouteTable
from catkinfork.validation._findings import ERROR, NOTE, Finding, count_noun, quote
from catkinfork.validation._route_changes import describe_route_changes

_LIMIT_EFFECTS = {
    "max_header_bytes": "requests whose head is still being received are rejected "
    "above the limit",
    "max_body_bytes": "requests whose body is still being received are rejected above "
    "the limit",
    "header_timeout_s": "applies to heads that are being received",
    "idle_timeout_s": "open connections that have been idle for longer are closed",
    "tokens_per_s": "",
}
_LIMIT_UNITS = {
    "max_header_bytes": "bytes",
    "max_body_bytes": "bytes",
    "header_timeout_s": "s",
    "idle_timeout_s": "s",
    "tokens_per_s": "tokens/s",
}


class ConfigurationView:
    """A configuration with the paths of its document and its routing table.

    :param configuration: :class:`Configuration`.
    :param paths: :class:`BasePaths` of the document.
    """

    def __init__(self, configuration, paths):
        self.configuration = configuration
        self.paths = paths
        self.table = RouteTable(configuration)


def check_version(configuration, paths, in_force):
    """Return a finding if the forwarders would ignore a configuration.

    :param in_force: :class:`ConfigurationView` of the one in force.
    """
    version, old = configuration.version, in_force.configuration.version
    path = paths.locate("version")
    if version > old:
        return []
    if configuration == in_force.configuration:
        return [Finding(NOTE, path, f"equal to the version in force, {old}")]
    if version == old:
        text = f"{version} is the version in force, which has other content"
    else:
        text = f"{version} is not higher than the version in force, {old}"
    return [Finding(ERROR, path, f"{text}; the forwarders would ignore the document")]


def list_differences(configuration, paths, in_force):
    """Return a note for each difference from the configuration in force.

    :param in_force: :class:`ConfigurationView` of the one in force.
    """
    new = ConfigurationView(configuration, paths)
    return [
        *describe_route_changes(in_force, new),
        *describe_service_changes(in_force, new),
        *describe_limit_changes(in_force, new),
        *describe_key_changes(in_force, new),
        *describe_access_changes(in_force, new),
    ]


def describe_service_changes(old, new):
    """Return a note for each removed, added and changed service."""
    before, after = old.configuration.services, new.configuration.services
    section = new.paths.locate("services")
    notes = [
        Finding(
            NOTE,
            section,
            f"service {quote(name)} removed: its backend servers are taken out as they "
            "next write an entry; running requests go on, waiting ones find no server",
        )
        for name in before
        if name not in after
    ]
    for name, service in after.items():
        if name not in before:
            path = new.paths.locate("services", name)
            notes.append(Finding(NOTE, path, f"service {quote(name)} added"))
            continue
        for field, value in service._asdict().items():
            previous = getattr(before[name], field)
            if previous != value:
                path = new.paths.locate("services", name, field)
                text = f"service {quote(name)}: {describe_change(previous, value)}; "
                text += "applies at once, running requests go on"
                notes.append(Finding(NOTE, path, text))
    return notes


def describe_change(before, after):
    """Describe the change of a value."""
    return f"{describe_value(before)} -> {describe_value(after)}"


def describe_value(value):
    """Return a short form of a value of a configuration."""
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = value._asdict().items()
        return ", ".join(f"{name} {describe_value(part)}" for name, part in fields)
    return "none" if value is None else quote(value)


def describe_limit_changes(old, new):
    """Return a note for each changed limit of callers."""
    notes = []
    before = old.configuration.limits
    for field, value in new.configuration.limits._asdict().items():
        previous = getattr(before, field)
        if value == previous:
            continue
        text = f"{describe_change(previous, value)} {_LIMIT_UNITS[field]}"
        if value < previous and _LIMIT_EFFECTS[field]:
            text += f"; lowered at once: {_LIMIT_EFFECTS[field]}"
        notes.append(Finding(NOTE, new.paths.locate("limits", field=field), text))
    return notes


def describe_key_changes(old, new):
    """Return a note for each workspace with added, withdrawn or moved keys.

    The keys are secret and are only counted.
    """
    before, after = old.table.workspaces, new.table.workspaces
    notes = []
    for name in list_workspaces(old, new):
        had = {key for key, owner in before.items() if owner == name}
        has = {key for key, owner in after.items() if owner == name}
        path = locate_workspace(new, name)
        for keys, effect in (
            (had - after.keys(), "withdrawn: new requests with one are refused (401)"),
            ((had & after.keys()) - has, "moved to another workspace"),
            (has - before.keys(), "added"),
        ):
            if keys:
                text = (
                    f"workspace {quote(name)}: {count_noun(len(keys), 'key')} {effect}"
                )
                if keys <= had:
                    text += "; running requests go on"
                notes.append(Finding(NOTE, path, text))
    return notes


def list_workspaces(old, new):
    """Return the names of the workspaces of two configurations, each once, in order."""
    workspaces = old.configuration.workspaces + new.configuration.workspaces
    return list(dict.fromkeys(workspace.name for workspace in workspaces))


def locate_workspace(view, name):
    """Return the JSON path of a workspace, or of all of them if it is not listed."""
    for index, workspace in enumerate(view.configuration.workspaces):
        if workspace.name == name:
            return view.paths.locate("workspaces", index)
    return view.paths.locate("workspaces")


def describe_access_changes(old, new):
    """Return notes on workspaces that come and go, and on requests without a key."""
    before = {workspace.name for workspace in old.configuration.workspaces}
    after = {workspace.name for workspace in new.configuration.workspaces}
    notes = []
    for name in list_workspaces(old, new):
        if (name in before) != (name in after):
            text = f"workspace {quote(name)} {'added' if name in after else 'removed'}"
            notes.append(Finding(NOTE, locate_workspace(new, name), text))
    if bool(before) != bool(after):
        text = "new requests need a key" if after else "new requests need no key"
        path = new.paths.locate("workspaces")
        notes.append(Finding(NOTE, path, f"{text}, except on public routes"))
    return notes
