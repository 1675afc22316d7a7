"""Conversion of decoded JSON to the records of a document."""

from typing import NamedTuple

from catkinfork.document._rules import RULES, ListOf, describe_value


class DocumentFault(NamedTuple):
    """One validation error of a document.

    :param path: path of the value, for example ``backend_servers[3].pool``; empty for
        the document as a whole.
    :param detail: the value and what is allowed.
    """

    path: str
    detail: str

    def describe(self):
        """Return the fault as one line."""
        return f"{self.path or 'document'}: {self.detail}"


def convert_record(raw, path, record_type, faults):
    """Convert a JSON object to a record.

    :param raw: decoded JSON value.
    :param path: path of the value in the document.
    :param record_type: ``NamedTuple`` type with an entry in ``RULES``.
    :param faults: list to which faults are appended.
    :returns: the record, with None in each invalid field, or None if ``raw`` is not
        an object.
    """
    if not isinstance(raw, dict):
        faults.append(build_fault(path, raw, "an object"))
        return None
    rules = RULES[record_type]
    for key in raw:
        if key not in rules:
            detail = f"unknown key, expected one of {', '.join(rules)}"
            faults.append(DocumentFault(join_path(path, key), detail))
    values = {}
    for key, rule in rules.items():
        field_path = join_path(path, key)
        if key in raw:
            values[key] = convert_value(raw[key], field_path, rule, faults)
        elif key in record_type._field_defaults:
            values[key] = record_type._field_defaults[key]
        else:
            values[key] = None
            faults.append(
                DocumentFault(field_path, f"missing, expected {rule.allowed}")
            )
    return record_type(**values)


def convert_value(raw, path, rule, faults):
    """Return a value that its rule accepts, or append a fault and return None."""
    if not rule.accepts(raw):
        is_secret = getattr(rule, "is_secret", False)
        faults.append(build_fault(path, raw, rule.allowed, is_secret))
        return None
    if not isinstance(rule, ListOf):
        return raw
    if rule.item in RULES:
        return [
            convert_record(entry, f"{path}[{index}]", rule.item, faults)
            for index, entry in enumerate(raw)
        ]
    return [
        convert_value(entry, f"{path}[{index}]", rule.item, faults)
        for index, entry in enumerate(raw)
    ]


def build_fault(path, raw, allowed, is_secret=False):
    """Return the fault for a value that is not allowed."""
    text = describe_value(raw, is_secret)
    return DocumentFault(path, f"{text} is not allowed, expected {allowed}")


def join_path(path, key):
    """Append a key to a path; a long or unusual key is quoted and truncated."""
    text = key if key.isidentifier() and len(key) <= 60 else describe_value(key)
    return f"{path}.{text}" if path else text
