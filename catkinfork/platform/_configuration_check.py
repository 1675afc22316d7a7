"""Checks of the operator's document: every error of the decoder, with its location.

The fields are decoded one by one with the types and the converters of the decoder, so
that one error does not hide the others. The decoder itself has the last word.
"""

from difflib import get_close_matches
from functools import partial
from typing import NamedTuple

import msgspec

from catkinfork.platform._documents import (
    CONFIGURATION_KEY,
    UNREADABLE,
    ConfigurationDocument,
    EngineDocument,
    LimitsDocument,
    PlatformDecoder,
    RouteDocument,
    ServiceDocument,
    TenantDocument,
    TrafficSplitDocument,
    convert_configuration,
    convert_engine,
    convert_limits,
    convert_route,
    convert_service,
    convert_split,
    convert_tenant,
)
from catkinfork.platform._figures import FigureReader
from catkinfork.platform._paths import DocumentPaths
from catkinfork.topology import (
    Configuration,
    InvalidValueError,
    Item,
    UnreadableItem,
    limit_detail,
)
from catkinfork.validation import (
    ERROR,
    ROOT_PATH,
    WARNING,
    BasePaths,
    Finding,
    check_json,
    extend_path,
    quote_name,
)


def build_converters(reader):
    """Return the converters by type of document, each called with a document.

    :param reader: :class:`FigureReader`.
    """
    return {
        ConfigurationDocument: partial(convert_configuration, reader=reader),
        EngineDocument: partial(convert_engine, name="", reader=reader),
        LimitsDocument: convert_limits,
        RouteDocument: convert_route,
        ServiceDocument: partial(convert_service, reader=reader),
        TenantDocument: convert_tenant,
        TrafficSplitDocument: convert_split,
    }


# What is wrong with optional figures is reported by the decoder itself.
_CONVERTERS = build_converters(FigureReader({}))
# Looked up once, as this takes most of the time for a document of many routes.
_FIELDS = {
    struct_type: {field.name: field for field in msgspec.structs.fields(struct_type)}
    for struct_type in _CONVERTERS
}
# Fields of the platform's format that the forwarders do not use.
_UNUSED_FIELDS = {
    RouteDocument: {"allowed_regions", "priority"},
    ServiceDocument: {"protocol", "tls"},
    TenantDocument: {"priority"},
}
# Values that every converter accepts, in place of invalid ones.
_NEUTRAL_VALUES = {int: 0, float: 0.0, str: "x", bool: False}
# Limits that the decoder raises to 1, by the type that has them.
_COUNTS = {
    EngineDocument: ("slots", "kv_capacity"),
    ServiceDocument: ("max_connections",),
}


class CheckedDocument(NamedTuple):
    """Result of the check of a document.

    :param configuration: :class:`Configuration`, or None if the decoder rejects it.
    :param paths: :class:`BasePaths` of the document.
    :param findings: list of :class:`Finding`.
    """

    configuration: Configuration | None
    paths: BasePaths
    findings: list


def check_document(content):
    """Check the document that an operator is about to publish.

    :param content: bytes of the JSON text.
    :returns: :class:`CheckedDocument`.
    :raises UnusableError: if the content is not JSON, or cannot be checked.
    """
    findings = check_json(content)
    document = check_struct(content, ConfigurationDocument, ROOT_PATH, findings)
    decoded = PlatformDecoder().decode(Item(CONFIGURATION_KEY, content, 0))
    paths = DocumentPaths(document)
    if isinstance(decoded, UnreadableItem):
        if not any(finding.severity == ERROR for finding in findings):
            findings.append(Finding(ERROR, ROOT_PATH, decoded.detail))
        return CheckedDocument(None, paths, findings)
    findings += paths.list_repeated_services()
    services_path = extend_path(ROOT_PATH, "services")
    findings += [Finding(WARNING, services_path, text) for text in decoded.ignored]
    return CheckedDocument(decoded.configuration, paths, findings)


def check_struct(content, struct_type, path, findings):
    """Decode an object field by field and append a finding for each error.

    :param content: bytes of the JSON text of the object, or ``msgspec.Raw``.
    :param struct_type: type of the decoder.
    :param path: JSON path of the object.
    :param findings: list to which findings are appended.
    :returns: instance of ``struct_type``, with neutral values in place of invalid ones.
    """
    texts = decode_value(content, dict[str, msgspec.Raw], path, findings)
    n_findings = len(findings)
    values = {}
    for name, field in _FIELDS[struct_type].items():
        where = extend_path(path, name)
        if texts is not None and name in texts:
            values[name] = check_value(texts[name], field.type, where, findings)
        elif field.required:
            values[name] = build_neutral(field.type)
            if texts is not None:
                findings.append(Finding(ERROR, where, "the field is missing"))
    is_complete = texts is not None and len(findings) == n_findings
    document = struct_type(**values)
    if is_complete:
        findings += list_small_counts(document, path)
    check_values(document, path, findings, is_complete)
    findings += list_unknown_fields(texts or (), struct_type, path)
    return document


def check_value(content, value_type, path, findings):
    """Decode a value, and append a finding for each error.

    :returns: the value, or a neutral one in place of an invalid one.
    """
    arguments = getattr(value_type, "__args__", ())
    if getattr(value_type, "__origin__", None) is list:
        texts = decode_value(content, list[msgspec.Raw], path, findings) or []
        return [
            check_value(text, arguments[0], f"{path}[{index}]", findings)
            for index, text in enumerate(texts)
        ]
    for struct_type in (value_type, *arguments):
        if struct_type in _CONVERTERS:
            if type(None) in arguments and bytes(content).strip() == b"null":
                return None
            return check_struct(content, struct_type, path, findings)
    n_findings = len(findings)
    value = decode_value(content, value_type, path, findings)
    return value if len(findings) == n_findings else build_neutral(value_type)


def decode_value(content, value_type, path, findings):
    """Return a decoded value, or None with a finding if it is invalid."""
    try:
        return msgspec.json.decode(content, type=value_type)
    except UNREADABLE as error:
        detail = limit_detail(str(error).partition(" - at `$")[0])
        findings.append(Finding(ERROR, path, detail))
        return None


def build_neutral(value_type):
    """Return a value of a type that every converter accepts."""
    if value_type in _CONVERTERS:
        fields = _FIELDS[value_type].values()
        return value_type(
            **{
                field.name: build_neutral(field.type)
                for field in fields
                if field.required
            }
        )
    if getattr(value_type, "__origin__", None) is list:
        return []
    (first, *_) = getattr(value_type, "__args__", (value_type,))
    return _NEUTRAL_VALUES.get(first, first)


def check_values(document, path, findings, is_complete):
    """Append a finding for each value that the converter of a document rejects.

    A rejected value is replaced, so that the converter goes on to the next one.

    :param document: instance of a type of the decoder.
    :param is_complete: whether no field is missing or has an invalid type, so that
        an error of the object as a whole is one of the document.
    """
    fields = _FIELDS[type(document)]
    for _ in fields:
        try:
            _CONVERTERS[type(document)](document)
            return
        except InvalidValueError as error:
            # The converters name a text that is checked after its object.
            name = error.what if error.what in fields else "name"
            findings.append(Finding(ERROR, extend_path(path, name), str(error)))
            setattr(document, name, build_neutral(fields[name].type))
        except UNREADABLE as error:
            if is_complete:
                findings.append(Finding(ERROR, path, limit_detail(str(error))))
            return


def list_unknown_fields(texts, struct_type, path):
    """Return a finding for each field that the platform's format does not have."""
    known = {*struct_type.__struct_fields__, *_UNUSED_FIELDS.get(struct_type, ())}
    findings = []
    for name in texts:
        if name not in known:
            similar = get_close_matches(name[:100], known, 1)
            text = f"unknown field {quote_name(name)}, which has no effect"
            text += f"; did you mean {similar[0]}?" if similar else ""
            findings.append(Finding(WARNING, extend_path(path, name), text))
    return findings


def list_small_counts(document, path):
    """Return a finding for each limit below 1, which counts as 1."""
    findings = []
    for name in _COUNTS.get(type(document), ()):
        value = getattr(document, name)
        if 0 <= value < 1:
            text = f"{value:g} is below 1 and counts as 1"
            findings.append(Finding(WARNING, extend_path(path, name), text))
    return findings
