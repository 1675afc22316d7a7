"""Duplicate keys in JSON objects, of which decoders keep only the last."""

import json
from collections import Counter

from catkinfork.document._convert import DocumentFault
from catkinfork.document._rules import describe_value


def check_duplicate_keys(content, faults):
    """Append a fault for each key that an object contains more than once.

    :param content: bytes of valid JSON.
    :param faults: list to which faults are appended.
    """

    def build_object(pairs):
        values = dict(pairs)
        if len(values) < len(pairs):
            counts = Counter(key for key, _ in pairs)
            for key in sorted(key for key, count in counts.items() if count > 1):
                name = describe_value(values.get("name"))
                detail = f"key {describe_value(key)} appears twice in the object "
                detail += f"with name {name}, expected each key once"
                faults.append(DocumentFault("", detail))
        return values

    json.loads(content, object_pairs_hook=build_object)
