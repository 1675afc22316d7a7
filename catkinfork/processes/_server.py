"""HTTP servers of a process, based on hypercorn."""

import socket

from hypercorn.asyncio import serve
from hypercorn.config import Config

from catkinfork.gateway import ResponseAbortedError
from catkinfork.observability import log_event
from catkinfork.processes._events import HANDLER_FAILED

LISTEN_BACKLOG = 1024
GRACEFUL_TIMEOUT_S = 2.0
KEEP_ALIVE_TIMEOUT_S = 75.0
MAX_KEEP_ALIVE_REQUESTS = 1_000_000
MAX_CONCURRENT_STREAMS = 1000


class PortInUseError(Exception):
    """A port cannot be bound.

    :param bind: ``host:port``.
    :param detail: error message of the operating system.
    """

    def __init__(self, bind, detail):
        super().__init__(bind, detail)
        self.bind = bind
        self.detail = detail

    def __str__(self):
        return f"{self.bind} cannot be bound: {self.detail}"


class ErrorLoggingMiddleware:
    """ASGI middleware that logs exceptions, which the server does not log.

    :param application: ASGI application.
    :param port: name of the port in log events.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, application, port, write_log):
        self.application = application
        self.port = port
        self.write_log = write_log

    async def __call__(self, scope, receive, send):
        try:
            await self.application(scope, receive, send)
        except* ResponseAbortedError:
            # Already logged. The server closes the connection without ending the body.
            raise
        except* Exception as group:
            for error in group.exceptions:
                self.log_failure(scope, error)
            raise

    def log_failure(self, scope, error):
        self.write_log(
            log_event(
                HANDLER_FAILED,
                port=self.port,
                path=scope.get("path", ""),
                failure=type(error).__name__,
                detail=str(error),
            )
        )


def bind_port(bind):
    """Bind a TCP socket for a server.

    :param bind: ``host:port``.
    :returns: the bound socket.
    :raises PortInUseError: if the port cannot be bound.
    """
    host, _, port = bind.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise PortInUseError(bind, str(error)) from error
    return listener


async def serve_application(application, listener, stop, max_header_bytes):
    """Serve an ASGI application over HTTP/1.1 and HTTP/2 until ``stop`` is set.

    :param application: ASGI application.
    :param listener: socket from :func:`bind_port`.
    :param stop: event that starts a graceful shutdown.
    :param max_header_bytes: size limit of a request head in bytes.
    """
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.backlog = LISTEN_BACKLOG
    config.graceful_timeout = GRACEFUL_TIMEOUT_S
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.keep_alive_max_requests = MAX_KEEP_ALIVE_REQUESTS
    config.h2_max_concurrent_streams = MAX_CONCURRENT_STREAMS
    config.h11_max_incomplete_size = max_header_bytes
    config.h2_max_header_list_size = max_header_bytes
    await serve(application, config, shutdown_trigger=stop.wait)
