"""Parsing and validation of the environment document."""

import msgspec
from result import Err, Ok

from catkinfork.document._convert import DocumentFault, convert_record
from catkinfork.document._duplicates import check_duplicate_keys
from catkinfork.document._references import check_references
from catkinfork.document._types import Document
from catkinfork.document._view import DocumentView

MAX_DOCUMENT_BYTES = 1024 * 1024


def parse_document(content):
    """Parse and validate an environment document; every fault is reported.

    :param content: bytes of the JSON text, at most 1 MB.
    :returns: ``Ok(DocumentView)`` or ``Err`` with a list of :class:`DocumentFault`.
    """
    if len(content) > MAX_DOCUMENT_BYTES:
        detail = f"{len(content)} bytes, expected at most {MAX_DOCUMENT_BYTES}"
        return Err([DocumentFault("", detail)])
    faults = []
    try:
        raw = msgspec.json.decode(content)
        check_duplicate_keys(content, faults)
    except (msgspec.DecodeError, RecursionError, ValueError) as error:
        return Err([DocumentFault("", f"not JSON: {error}")])
    document = convert_record(raw, "", Document, faults)
    if document is not None:
        check_references(document, faults)
    if faults:
        return Err(faults)
    return Ok(DocumentView(document, content))
