"""The response side of one request of a caller."""

from collections import deque
from typing import NamedTuple

import anyio

from catkinfork.routing import Refusal

# The agent sends as fast as the router takes parts, so that a large response to an
# ordinary caller is held here for a while.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class ResponseHead(NamedTuple):
    """Status and headers of a response."""

    status: int
    headers: list[tuple[str, str]]


class ResponseData(NamedTuple):
    """Body bytes of a response."""

    data: bytes
    is_last: bool


class Exchange:
    """What the router's decisions have produced for one request, in order.

    :param request_id: id of the request.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.items = deque()
        self.changed = anyio.Event()
        self.n_buffered_bytes = 0
        self.is_over_buffer = False
        self.is_ending = False

    def push(self, item):
        """Append a head, data or a refusal.

        :param item: :class:`ResponseHead`, :class:`ResponseData` or
            :class:`Refusal`.
        """
        if isinstance(item, ResponseData):
            self.n_buffered_bytes += len(item.data)
            self.is_over_buffer = self.n_buffered_bytes > MAX_BUFFERED_BYTES
        self.items.append(item)
        self.changed.set()

    async def pull(self):
        """Return the next item, waiting for it."""
        while not self.items:
            self.changed = anyio.Event()
            await self.changed.wait()
        item = self.items.popleft()
        if isinstance(item, ResponseData):
            self.n_buffered_bytes -= len(item.data)
        return item


def is_refusal(item):
    """Return whether an item of an exchange is a refusal."""
    return isinstance(item, Refusal)
