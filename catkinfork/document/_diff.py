"""Differences between two documents, in words for operators."""

from catkinfork.document._types import IN_SERVICE, LOST, OUT

_STATES = {IN_SERVICE: "in service", OUT: "out of service", LOST: "lost"}


def diff_documents(old, new):
    """Tell what the promotion of a document would change.

    :param old: :class:`DocumentView` in force.
    :param new: :class:`DocumentView` to promote.
    :returns: list of lines, empty if both have the same content.
    """
    if old.digest == new.digest:
        return []
    lines = diff_heads(old, new)
    lines += diff_named("data centre", old.data_centres, new.data_centres, old, new)
    lines += diff_named("pool", old.pools, new.pools, old, new)
    lines += diff_named("workspace", old.workspaces, new.workspaces, old, new)
    lines += diff_named(
        "backend server", old.backend_servers, new.backend_servers, old, new
    )
    return lines + diff_key_servers(old, new)


def diff_heads(old, new):
    """Compare environment, version and region, and say what the fleet would do."""
    lines = []
    if old.document.environment != new.document.environment:
        lines.append(
            f"environment: {old.document.environment} -> {new.document.environment}; "
            f"the fleet of {old.document.environment} refuses it"
        )
    if new.version > old.version:
        lines.append(f"version: {old.version} -> {new.version}")
    elif new.version == old.version:
        winner = "new" if new.identity > old.identity else "old"
        lines.append(
            f"version: {old.version} in both, a conflict; the fleet keeps the {winner} "
            "document, whose digest is greater"
        )
    else:
        lines.append(
            f"version: {old.version} -> {new.version}, which is older; the fleet "
            "ignores it"
        )
    if old.document.region != new.document.region:
        lines.append(f"region: {old.document.region} -> {new.document.region}")
    return lines


def diff_named(noun, old_entries, new_entries, old, new):
    """Compare records by name: removed, added, changed."""
    lines = []
    for name in sorted(old_entries.keys() - new_entries.keys()):
        effect = describe_removal(noun)
        lines.append(f"{noun} {name}: removed{effect}")
    for name in sorted(new_entries.keys() - old_entries.keys()):
        lines.append(f"{noun} {name}: added, {describe_entry(new_entries[name])}")
    for name in sorted(old_entries.keys() & new_entries.keys()):
        if old_entries[name] != new_entries[name]:
            changes = list_changes(old_entries[name], new_entries[name], old, new)
            lines += [f"{noun} {name}: {change}" for change in changes]
    return lines


def describe_removal(noun):
    """Return what the removal of a record means."""
    if noun == "workspace":
        return "; its callers are refused"
    if noun == "backend server":
        return "; it receives no new work"
    return ""


def describe_entry(entry):
    """Return the fields of an added record, without its name."""
    parts = []
    for field, value in zip(entry._fields[1:], entry[1:], strict=True):
        parts.append(f"{field.replace('_', ' ')} {describe_field(field, value)}")
    return ", ".join(parts)


def describe_field(field, value):
    """Return a field's value in words."""
    if field == "state":
        return _STATES[value]
    if field == "key_digests":
        return str(len(value))
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return " and ".join(value)
    if isinstance(value, float):
        return f"{value:g}"
    return str(value)


def list_changes(old_entry, new_entry, old, new):
    """Return one text for each changed field of a record."""
    changes = []
    for field in old_entry._fields:
        before, after = getattr(old_entry, field), getattr(new_entry, field)
        if before == after:
            continue
        if field == "state":
            changes.append(describe_state_change(new_entry, before, after, old))
        elif isinstance(before, list):
            changes += list_item_changes(field, before, after)
        else:
            before_text = describe_field(field, before)
            after_text = describe_field(field, after)
            label = field.replace("_", " ")
            changes.append(f"{label} {before_text} -> {after_text}")
    return changes


def describe_state_change(entry, before, after, old):
    """Return a change of state with its effect."""
    text = f"{_STATES[before]} -> {_STATES[after]}"
    if entry.name in old.data_centres and not hasattr(entry, "pool"):
        servers = old.document.backend_servers
        n_servers = sum(server.data_centre == entry.name for server in servers)
        effect = "receive no new work" if after == OUT else "return gradually"
        return f"{text}; its {n_servers} backend servers {effect}"
    if after == LOST:
        return f"{text}; its process must have stopped for good"
    if before == LOST:
        return f"{text}; keys that another server took over may run again on it"
    if after == OUT:
        return f"{text}; it receives no new work"
    return f"{text}; it starts at one place"


def list_item_changes(field, before, after):
    """Return the items added to and removed from a list."""
    added = [item for item in after if item not in before]
    removed = [item for item in before if item not in after]
    if field == "key_digests":
        changes = []
        if added:
            changes.append(f"{len(added)} caller keys added")
        if removed:
            changes.append(f"{len(removed)} caller keys removed; they are refused")
        return changes or ["caller keys in another order"]
    changes = [f"{field} {item} as well" for item in added]
    changes += [f"{field} {item} no longer" for item in removed]
    return changes or [f"{field} in another order"]


def diff_key_servers(old, new):
    """Tell for which pools the servers that may own keys change."""
    lines = []
    for pool in sorted(old.pools.keys() & new.pools.keys()):
        before = {entry.name for entry in old.list_pool(pool) if entry.state != LOST}
        after = {entry.name for entry in new.list_pool(pool) if entry.state != LOST}
        if before and before != after:
            lines.append(
                f"pool {pool}: other servers own keys; older keys are answered unknown "
                "and opaque keys for the quiet time"
            )
    return lines
