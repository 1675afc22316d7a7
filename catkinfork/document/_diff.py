"""Human-readable differences between two documents, for operators."""

from catkinfork.document._types import IN_SERVICE, LOST, OUT, DataCentre

_STATE_TEXTS = {IN_SERVICE: "in service", OUT: "out of service", LOST: "lost"}
_REMOVAL_EFFECTS = {
    "workspace": "; its callers are refused",
    "backend server": "; it receives no new work",
}


def diff_documents(old, new):
    """Describe what the promotion of a document would change.

    :param old: :class:`DocumentView` in force.
    :param new: :class:`DocumentView` to promote.
    :returns: list of lines, empty if both have the same bytes.
    """
    if old.digest == new.digest:
        return []
    lines = diff_metadata(old, new)
    lines += diff_entries("data centre", old.data_centres, new.data_centres, old)
    lines += diff_entries("pool", old.pools, new.pools, old)
    lines += diff_entries("workspace", old.workspaces, new.workspaces, old)
    servers = (old.backend_servers, new.backend_servers)
    lines += diff_entries("backend server", *servers, old)
    return lines + diff_targets(old, new) + diff_key_servers(old, new)


def diff_metadata(old, new):
    """Compare environment, version and region, and describe how the fleet reacts."""
    lines = []
    before, after = old.document, new.document
    if before.environment != after.environment:
        lines.append(
            f"environment: {before.environment} -> {after.environment}; a fleet "
            "accepts only documents of its own"
        )
    if new.version > old.version or before.environment != after.environment:
        lines.append(f"version: {old.version} -> {new.version}")
    elif new.version < old.version:
        lines.append(
            f"version: {old.version} -> {new.version}; the fleet ignores an older one"
        )
    else:
        winner = "new" if new.identity > old.identity else "old"
        lines.append(
            f"version: {old.version} in both, which is a conflict; the {winner} "
            "document wins, because its digest is greater"
        )
    if before.region != after.region:
        lines.append(f"region: {before.region} -> {after.region}")
    return lines


def diff_entries(noun, old_entries, new_entries, old):
    """List removed, added and changed records, matched by name.

    :param noun: kind of the records, for the lines.
    :param old_entries: records of the document in force by name.
    :param new_entries: records of the new document by name.
    :param old: :class:`DocumentView` in force.
    """
    lines = []
    for name in sorted(old_entries.keys() - new_entries.keys()):
        lines.append(f"{noun} {name}: removed{_REMOVAL_EFFECTS.get(noun, '')}")
    for name in sorted(new_entries.keys() - old_entries.keys()):
        lines.append(f"{noun} {name}: added, {describe_entry(new_entries[name])}")
    for name in sorted(old_entries.keys() & new_entries.keys()):
        changes = list_changes(old_entries[name], new_entries[name], old)
        lines += [f"{noun} {name}: {change}" for change in changes]
    return lines


def describe_entry(entry):
    """Describe the fields of an added record, without its name."""
    return ", ".join(
        f"{field.replace('_', ' ')} {describe_field(field, getattr(entry, field))}"
        for field in entry._fields
        if field != "name"
    )


def describe_field(field, value):
    """Describe the value of a field."""
    if field == "state":
        return _STATE_TEXTS[value]
    if field == "key_digests":
        return str(len(value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return " and ".join(value)
    return f"{value:g}" if isinstance(value, float) else str(value)


def list_changes(before, after, old):
    """Return descriptions of the changed fields of a record."""
    changes = []
    for field in before._fields:
        old_value, new_value = getattr(before, field), getattr(after, field)
        if old_value == new_value:
            continue
        if field == "state":
            changes.append(describe_state_change(before, after, old))
        elif isinstance(old_value, list):
            changes += list_item_changes(field, old_value, new_value)
        else:
            label = field.replace("_", " ")
            texts = (describe_field(field, old_value), describe_field(field, new_value))
            changes.append(f"{label} {texts[0]} -> {texts[1]}")
    return changes


def describe_state_change(before, after, old):
    """Describe a change of state and its effect."""
    text = f"{_STATE_TEXTS[before.state]} -> {_STATE_TEXTS[after.state]}"
    if isinstance(after, DataCentre):
        servers = old.document.backend_servers
        n_servers = sum(server.data_centre == after.name for server in servers)
        noun = "backend server" if n_servers == 1 else "backend servers"
        effect = "no new work for" if after.state == OUT else "gradual return of"
        return f"{text}; {effect} its {n_servers} {noun}"
    if after.state == LOST:
        return f"{text}; only if its process has stopped for good"
    if before.state == LOST:
        return f"{text}; its agent refuses keys until it is restarted"
    if after.state == OUT:
        return f"{text}; it receives no new work"
    return f"{text}; it starts at one place"


def list_item_changes(field, old_value, new_value):
    """Return descriptions of the items added to and removed from a list."""
    added = sorted(set(new_value) - set(old_value))
    removed = sorted(set(old_value) - set(new_value))
    if field == "key_digests":
        changes = [f"caller keys added: {len(added)}"] if added else []
        if removed:
            changes.append(f"caller keys removed, to be refused: {len(removed)}")
        return changes or ["caller keys in another order"]
    changes = [f"{field} {item} as well" for item in added]
    changes += [f"{field} {item} no longer" for item in removed]
    return changes or [f"{field} in another order"]


def list_served_targets(view):
    """Return the set of targets served by a backend server in service."""
    return {
        target
        for entry in view.document.backend_servers
        if view.is_in_service(entry.name)
        for target in entry.serves
    }


def diff_targets(old, new):
    """Return lines for targets that are left without a backend server in service."""
    return [
        f"target {target}: no backend server in service is left; its requests wait or "
        "are refused"
        for target in sorted(list_served_targets(old) - list_served_targets(new))
    ]


def list_possible_owners(view, pool):
    """Return the set of servers that may own keys, for each target of a pool."""
    targets = {target for entry in view.list_pool(pool) for target in entry.serves}
    return {target: set(view.list_key_servers(pool, target)) for target in targets}


def diff_key_servers(old, new):
    """Return lines for pools in which the set of possible key owners changes.

    The agents of such a pool raise the minimum timestamp of the keys they accept.
    """
    return [
        f"pool {pool}: the servers that may own keys change; earlier keys are refused "
        "with outcome unknown, opaque keys during the quiet time"
        for pool in sorted(old.pools.keys() & new.pools.keys())
        if list_possible_owners(old, pool) != list_possible_owners(new, pool)
    ]
