"""HTTP client for a plain service."""

from math import ceil

import anyio

from catkinfork.backends._base import BaseBackend
from catkinfork.backends._headers import decode_response_headers
from catkinfork.execution import BackendData, BackendHead


class ServiceBackend(BaseBackend):
    """Client for a plain service; one service unit is one millisecond."""

    async def execute(self, start, emit):
        """See :class:`BaseBackend`. The response body is forwarded unchanged."""
        started_at = anyio.current_time()
        units = 0
        async with self.open_response(self.build_attempt_request(start)) as response:
            headers = decode_response_headers(response)
            emit(BackendHead(start.attempt, response.status_code, headers))
            async for data in self.iterate_body(response):
                total = compute_elapsed_units(started_at)
                emit(BackendData(start.attempt, data, total - units))
                units = total
        return compute_elapsed_units(started_at)


def compute_elapsed_units(started_at):
    """Return the milliseconds elapsed since ``started_at``, at least 1."""
    return max(1, ceil((anyio.current_time() - started_at) * 1000))
