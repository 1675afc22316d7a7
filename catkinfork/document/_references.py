"""Checks between the records of a document: unique names and defined references.

Fields that have a fault of their own are None here and are passed over.
"""

from catkinfork.document._convert import DocumentFault
from catkinfork.document._rules import NAME, describe_value
from catkinfork.document._types import SERVICE

_LISTS = ("workspaces", "data_centres", "pools", "backend_servers")


def check_references(document, faults):
    """Append a fault for each duplicate and each undefined reference.

    :param document: :class:`Document`, possibly with None in faulty fields.
    :param faults: list to which faults are appended.
    """
    for field in _LISTS:
        places = [
            (f"{field}[{index}].name", entry.name)
            for index, entry in list_entries(document, field)
        ]
        check_unique(places, "name", faults)
    check_key_digests(document, faults)
    check_servers(document, faults)
    check_targets(document, faults)


def list_entries(document, field):
    """Return pairs of index and record of a list, without faulty records."""
    entries = getattr(document, field) or []
    return [(index, entry) for index, entry in enumerate(entries) if entry is not None]


def check_unique(places, noun, faults):
    """Append a fault for each value that was used before.

    :param places: pairs of place and value.
    :param noun: what the value is.
    """
    first = {}
    for place, value in places:
        if value is None:
            continue
        if value in first:
            detail = f"{describe_value(value)} is used twice, first in {first[value]}"
            detail += f", expected each {noun} only once"
            faults.append(DocumentFault(place, detail))
        else:
            first[value] = place


def check_key_digests(document, faults):
    """Append a fault for each key digest that is used twice."""
    places = [
        (f"workspaces[{index}].key_digests[{position}]", digest)
        for index, entry in list_entries(document, "workspaces")
        for position, digest in enumerate(entry.key_digests or [])
    ]
    check_unique(places, "key digest", faults)


def check_servers(document, faults):
    """Check references and agent addresses of the backend servers."""
    servers = list_entries(document, "backend_servers")
    for field, target_field in (("data_centre", "data_centres"), ("pool", "pools")):
        if getattr(document, target_field) is None:
            continue
        defined = {entry.name for _, entry in list_entries(document, target_field)}
        for index, entry in servers:
            name = getattr(entry, field)
            if name is not None and name not in defined:
                detail = f"{describe_value(name)} is not defined in {target_field}"
                place = f"backend_servers[{index}].{field}"
                faults.append(DocumentFault(place, detail))
    places = [
        (f"backend_servers[{index}].agent", entry.agent) for index, entry in servers
    ]
    check_unique(places, "address", faults)


def check_targets(document, faults):
    """Check that a target is served once by a server and in one pool only."""
    kinds = {entry.name: entry.kind for _, entry in list_entries(document, "pools")}
    pool_of_target = {}
    for index, entry in list_entries(document, "backend_servers"):
        places = [
            (f"backend_servers[{index}].serves[{position}]", target)
            for position, target in enumerate(entry.serves or [])
            if target is not None
        ]
        check_unique(places, "target", faults)
        if entry.pool is None:
            continue
        for place, target in places:
            pool = pool_of_target.setdefault(target, entry.pool)
            if pool != entry.pool:
                detail = f"{describe_value(target)} is served in pools {pool} and "
                detail += f"{entry.pool}, expected one pool for each target"
                faults.append(DocumentFault(place, detail))
            if kinds.get(entry.pool) == SERVICE and not NAME.accepts(target):
                detail = f"{describe_value(target)} is not allowed for a service, "
                detail += f"expected {NAME.allowed}"
                faults.append(DocumentFault(place, detail))
