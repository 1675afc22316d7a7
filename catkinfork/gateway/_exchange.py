"""Response buffer between the router core and a caller's connection."""

from collections import deque
from typing import NamedTuple

import anyio

from catkinfork.routing import Refusal

# The agent sends as fast as the router acknowledges parts, so a large response is
# buffered here even for a caller that reads at an ordinary rate.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024


class ResponseHead(NamedTuple):
    """Status and headers of a response; the first item unless it is refused."""

    status: int
    headers: list[tuple[str, str]]


class ResponseData(NamedTuple):
    """A part of the response body."""

    data: bytes
    is_last: bool


class Exchange:
    """Response items of one request, in order, that are not yet sent to the caller.

    :param request_id: id of the request.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.items = deque()
        self.changed = anyio.Event()
        self.n_buffered_bytes = 0
        self.is_over_limit = False
        self.is_ending = False

    def push(self, item):
        """Append an item.

        :param item: :class:`ResponseHead`, :class:`ResponseData` or
            :class:`Refusal`.
        """
        if isinstance(item, ResponseData):
            self.n_buffered_bytes += len(item.data)
            self.is_over_limit = self.n_buffered_bytes > MAX_BUFFERED_BYTES
        self.items.append(item)
        self.changed.set()

    async def pull(self):
        """Remove and return the next item, waiting until there is one."""
        while not self.items:
            self.changed = anyio.Event()
            await self.changed.wait()
        item = self.items.popleft()
        if isinstance(item, ResponseData):
            self.n_buffered_bytes -= len(item.data)
        return item


def is_refusal(item):
    return isinstance(item, Refusal)
