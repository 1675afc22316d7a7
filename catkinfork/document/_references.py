"""Checks across the records of a document: unique names and defined references.

Invalid fields are None here and are skipped.
"""

from catkinfork.document._convert import DocumentFault
from catkinfork.document._rules import NAME, describe_value
from catkinfork.document._types import SERVICE

_LISTS = ("workspaces", "data_centres", "pools", "backend_servers")


def check_references(document, faults):
    """Append a fault for each duplicate and each undefined reference.

    :param document: :class:`Document`, with None in invalid fields.
    :param faults: list to which faults are appended.
    """
    for field in _LISTS:
        path_values = [
            (f"{field}[{index}].name", record.name)
            for index, record in list_records(document, field)
        ]
        check_unique(path_values, "name", faults)
    check_key_digests(document, faults)
    check_servers(document, faults)
    check_targets(document, faults)


def list_records(document, field):
    """Return pairs of index and record of a list, without invalid records."""
    records = getattr(document, field) or []
    return [
        (index, record) for index, record in enumerate(records) if record is not None
    ]


def check_unique(path_values, noun, faults):
    """Append a fault for each repeated value.

    :param path_values: pairs of path and value.
    :param noun: kind of the value, for faults.
    :param faults: list to which faults are appended.
    """
    first_path = {}
    for path, value in path_values:
        if value is None:
            continue
        if value in first_path:
            detail = (
                f"{describe_value(value)} is used twice, first in {first_path[value]}"
            )
            detail += f", expected each {noun} only once"
            faults.append(DocumentFault(path, detail))
        else:
            first_path[value] = path


def check_key_digests(document, faults):
    """Append a fault for each repeated key digest."""
    path_values = [
        (f"workspaces[{index}].key_digests[{position}]", digest)
        for index, record in list_records(document, "workspaces")
        for position, digest in enumerate(record.key_digests or [])
    ]
    check_unique(path_values, "key digest", faults)


def check_servers(document, faults):
    """Check the references of backend servers and that agent addresses are unique."""
    servers = list_records(document, "backend_servers")
    for field, target_field in (("data_centre", "data_centres"), ("pool", "pools")):
        if getattr(document, target_field) is None:
            continue
        defined = {record.name for _, record in list_records(document, target_field)}
        for index, record in servers:
            name = getattr(record, field)
            if name is not None and name not in defined:
                detail = f"{describe_value(name)} is not defined in {target_field}"
                path = f"backend_servers[{index}].{field}"
                faults.append(DocumentFault(path, detail))
    path_values = [
        (f"backend_servers[{index}].agent", record.agent) for index, record in servers
    ]
    check_unique(path_values, "address", faults)


def check_targets(document, faults):
    """Check that each server lists a target once and one pool serves it.

    Targets of a service must also be names.
    """
    kinds = {record.name: record.kind for _, record in list_records(document, "pools")}
    pool_of_target = {}
    for index, record in list_records(document, "backend_servers"):
        path_values = [
            (f"backend_servers[{index}].serves[{position}]", target)
            for position, target in enumerate(record.serves or [])
            if target is not None
        ]
        check_unique(path_values, "target", faults)
        if record.pool is None:
            continue
        for path, target in path_values:
            pool = pool_of_target.setdefault(target, record.pool)
            if pool != record.pool:
                detail = f"{describe_value(target)} is served in pools {pool} and "
                detail += f"{record.pool}, expected one pool for each target"
                faults.append(DocumentFault(path, detail))
            if kinds.get(record.pool) == SERVICE and not NAME.accepts(target):
                detail = f"{describe_value(target)} is not allowed for a service, "
                detail += f"expected {NAME.allowed}"
                faults.append(DocumentFault(path, detail))
