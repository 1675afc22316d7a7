"""Client to a plain service."""

from math import ceil

import anyio

from catkinfork.backends._base import BaseBackend
from catkinfork.backends._headers import read_response_headers
from catkinfork.execution import BackendData, BackendHead


class ServiceBackend(BaseBackend):
    """Runs requests on a plain service; one service unit is one millisecond."""

    async def exchange(self, start, emit):
        """See :class:`BaseBackend`. The body passes unchanged."""
        began = anyio.current_time()
        units = 0
        async with self.open(self.build_start(start)) as response:
            headers = read_response_headers(response)
            emit(BackendHead(start.attempt, response.status_code, headers))
            async for data in self.read(response):
                total = measure_units(began)
                emit(BackendData(start.attempt, data, total - units))
                units = total
        return measure_units(began)


def measure_units(began):
    """Return the milliseconds since ``began``, at least 1."""
    return max(1, ceil((anyio.current_time() - began) * 1000))
