"""Errors of requests to a backend server."""

from contextlib import contextmanager

import httpx


class BackendError(Exception):
    """Base class of the errors of a request to a backend server.

    :param detail: description of the failure.
    """

    kind = ""

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class BackendRefusedError(BackendError):
    """No connection was made or the request was malformed, so nothing was sent."""

    kind = "refused"


class BackendResetError(BackendError):
    """The connection was lost when the request may already have been sent."""

    kind = "reset"


class BackendOverloadedError(BackendError):
    """The engine rejected the request because it is overloaded."""

    kind = "overloaded"


class BackendSilentError(BackendError):
    """Nothing arrived within the idle timeout or the timeout for the head."""

    kind = "silent"


class ResponseTooLargeError(BackendError):
    """The response exceeds the size limit of the client."""

    kind = "too_expensive"


@contextmanager
def translate_errors():
    """Convert httpx errors and timeouts to :class:`BackendError`."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.LocalProtocolError) as e:
        raise BackendRefusedError(format_error(e)) from e
    except (httpx.ReadTimeout, httpx.WriteTimeout, TimeoutError) as e:
        raise BackendSilentError(format_error(e)) from e
    except httpx.TransportError as e:
        raise BackendResetError(format_error(e)) from e


def format_error(error):
    """Return the type and message of an exception."""
    return f"{type(error).__name__}: {error}".rstrip(": ")
