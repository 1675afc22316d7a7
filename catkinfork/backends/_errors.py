"""Failures of a backend server."""

from contextlib import contextmanager

import httpx


class BackendError(Exception):
    """Base of the failures of a backend server.

    :param detail: what happened.
    """

    kind = ""

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class BackendRefusedError(BackendError):
    """No connection was made, so nothing was sent."""

    kind = "refused"


class BackendResetError(BackendError):
    """The connection broke after the request may have been sent."""

    kind = "reset"


class BackendOverloadedError(BackendError):
    """The engine refused the request because it has too much work."""

    kind = "overloaded"


class BackendSilentError(BackendError):
    """Nothing arrived within the idle timeout."""

    kind = "silent"


class ResponseTooLargeError(BackendError):
    """The response exceeds the limit of the client."""

    kind = "too_expensive"


@contextmanager
def translate_errors():
    """Raise the failures of httpx and timeouts as :class:`BackendError`."""
    try:
        yield
    except (httpx.ConnectError, httpx.ConnectTimeout, httpx.LocalProtocolError) as e:
        raise BackendRefusedError(describe(e)) from e
    except (httpx.ReadTimeout, httpx.WriteTimeout, TimeoutError) as e:
        raise BackendSilentError(describe(e)) from e
    except httpx.TransportError as e:
        raise BackendResetError(describe(e)) from e


def describe(error):
    """Return the type and text of a failure."""
    return f"{type(error).__name__}: {error}".rstrip(": ")
