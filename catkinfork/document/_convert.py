"""Conversion of decoded JSON to the document's records, with every fault."""

from typing import NamedTuple

from catkinfork.document._rules import RULES, ListOf, describe_value


class DocumentFault(NamedTuple):
    """One fault of a document.

    :param place: where it is, for example ``backend_servers[3].pool``; empty for the
        document as a whole.
    :param detail: the value and what is allowed.
    """

    place: str
    detail: str

    def describe(self):
        """Return the fault as one line."""
        return f"{self.place or 'document'}: {self.detail}"


def convert_record(raw, place, record_type, faults):
    """Convert a JSON object to a record.

    :param raw: decoded JSON value.
    :param place: place of the value in the document.
    :param record_type: ``NamedTuple`` type with an entry in ``RULES``.
    :param faults: list to which faults are appended.
    :returns: the record, with None in each field that has a fault, or None if ``raw``
        is no object.
    """
    if not isinstance(raw, dict):
        faults.append(report(place, raw, "an object"))
        return None
    rules = RULES[record_type]
    for key in raw:
        if key not in rules:
            detail = f"unknown key, expected one of {', '.join(rules)}"
            faults.append(DocumentFault(join_place(place, key), detail))
    values = {}
    for key, rule in rules.items():
        at = join_place(place, key)
        if key in raw:
            values[key] = convert_value(raw[key], at, rule, faults)
        elif key in record_type._field_defaults:
            values[key] = record_type._field_defaults[key]
        else:
            values[key] = None
            faults.append(DocumentFault(at, f"missing, expected {rule.allowed}"))
    return record_type(**values)


def convert_value(raw, place, rule, faults):
    """Convert a value by its rule, or append a fault and return None."""
    if not rule.accepts(raw):
        is_hidden = getattr(rule, "is_hidden", False)
        faults.append(report(place, raw, rule.allowed, is_hidden))
        return None
    if not isinstance(rule, ListOf):
        return raw
    if rule.item in RULES:
        return [
            convert_record(entry, f"{place}[{index}]", rule.item, faults)
            for index, entry in enumerate(raw)
        ]
    return [
        convert_value(entry, f"{place}[{index}]", rule.item, faults)
        for index, entry in enumerate(raw)
    ]


def report(place, raw, allowed, is_hidden=False):
    """Return the fault of a value that is not allowed."""
    shown = describe_value(raw, is_hidden)
    return DocumentFault(place, f"{shown} is not allowed, expected {allowed}")


def join_place(place, key):
    """Return the place of a key; an unusual key is shown in quotes and shortened."""
    text = key if key.isidentifier() and len(key) <= 60 else describe_value(key)
    return f"{place}.{text}" if place else text
