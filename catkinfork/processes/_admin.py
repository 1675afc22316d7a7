"""ASGI application of the admin port: metrics, health and status."""

import msgspec

from catkinfork.gateway import handle_lifespan, send_response
from catkinfork.processes._metrics import MetricsRenderer

JSON_HEADERS = [("content-type", "application/json")]


class AdminApplication:
    """ASGI application of the admin port.

    ``/health/live`` responds while the event loop runs. ``/health/ready`` succeeds
    only while the process accepts work. ``/metrics`` returns the metrics in the
    Prometheus format and ``/status`` the state of the whole fleet as JSON.

    :param process: :class:`BaseProcess`.
    """

    def __init__(self, process):
        self.process = process
        self.metrics = MetricsRenderer(process)

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.handle_request(scope, send)

    async def handle_request(self, scope, send):
        """Handle one HTTP request."""
        path = scope["path"]
        if path == "/health/live":
            await send_response(send, 200, JSON_HEADERS, b'{"live":true}')
        elif path == "/health/ready":
            is_ready = self.process.is_ready()
            body = b'{"ready":true}' if is_ready else b'{"ready":false}'
            await send_response(send, 200 if is_ready else 503, JSON_HEADERS, body)
        elif path == "/metrics":
            accepts = [
                value.decode("latin-1")
                for name, value in scope["headers"]
                if name.lower() == b"accept"
            ]
            body, headers = self.metrics.render(accepts)
            await send_response(send, 200, list(headers.items()), body)
        elif path == "/status":
            status = await self.process.collect_status()
            await send_response(send, 200, JSON_HEADERS, msgspec.json.encode(status))
        else:
            await send_response(send, 404, JSON_HEADERS, b'{"error":"not found"}')
