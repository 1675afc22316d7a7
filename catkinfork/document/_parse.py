"""Parsing of the environment document."""

from typing import NamedTuple

import msgspec
from result import Err, Ok

from catkinfork.document._types import Document
from catkinfork.document._view import DocumentView

MAX_DOCUMENT_BYTES = 1024 * 1024


class DocumentFault(NamedTuple):
    """One fault of a document.

    :param place: where it is, for example ``backend_servers[3].pool``.
    :param detail: the value and what is allowed.
    """

    place: str
    detail: str


def parse_document(content):
    """Parse and check an environment document.

    :param content: bytes of the JSON text, at most 1 MB.
    :returns: ``Ok(DocumentView)`` or ``Err`` with a list of :class:`DocumentFault`.
    """
    if len(content) > MAX_DOCUMENT_BYTES:
        detail = f"{len(content)} bytes, expected <= {MAX_DOCUMENT_BYTES}"
        return Err([DocumentFault("", detail)])
    try:
        document = msgspec.convert(msgspec.json.decode(content), Document)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        return Err([DocumentFault("", str(error))])
    return Ok(DocumentView(document, content))
