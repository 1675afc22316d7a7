"""The environment document: parsing, checks, lookups and differences."""

from catkinfork.document._convert import DocumentFault
from catkinfork.document._diff import diff_documents
from catkinfork.document._digest import compute_digest
from catkinfork.document._owners import find_acting_owner, rank_key_servers
from catkinfork.document._parse import MAX_DOCUMENT_BYTES, parse_document
from catkinfork.document._types import (
    ENGINE,
    IN_SERVICE,
    LOST,
    OUT,
    SERVICE,
    BackendServer,
    DataCentre,
    Document,
    Pool,
    Workspace,
)
from catkinfork.document._view import DocumentView

__all__ = [
    "ENGINE",
    "IN_SERVICE",
    "LOST",
    "MAX_DOCUMENT_BYTES",
    "OUT",
    "SERVICE",
    "BackendServer",
    "DataCentre",
    "Document",
    "DocumentFault",
    "DocumentView",
    "Pool",
    "Workspace",
    "compute_digest",
    "diff_documents",
    "find_acting_owner",
    "parse_document",
    "rank_key_servers",
]
