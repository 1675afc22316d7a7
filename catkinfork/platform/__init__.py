"""Adapter between the forwarder and the platform."""

from catkinfork.platform._documents import PlatformDecoder
from catkinfork.platform._engines import EngineCacheSource
from catkinfork.platform._names import HEADERS, READY_PATH
from catkinfork.platform._store import StoreSource

__all__ = [
    "HEADERS",
    "READY_PATH",
    "EngineCacheSource",
    "PlatformDecoder",
    "StoreSource",
    "check_document",
]


def check_document(content):
    """Check the document that an operator is about to publish.

    :param content: bytes of the JSON text.
    :returns: :class:`CheckedDocument`.
    :raises UnusableError: if the content is not JSON, or cannot be checked.
    """
    # Forwarders, which start on small hosts, do not need the checks. Their import takes
    # 20 ms of processor time.
    from catkinfork.platform import _configuration_check

    return _configuration_check.check_document(content)
