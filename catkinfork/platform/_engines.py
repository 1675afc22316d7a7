"""Prompt parts that the engines of the platform keep."""

import anyio
import msgspec

from catkinfork.forwarding import (
    BasePromptPartSource,
    FetchError,
    HttpClient,
    parse_part_name,
)

LIST_PATH = "/kv-list"
LIST_TIMEOUT_S = 0.3
# Engines that are asked at the same time, which bounds the connections of a lookup.
MAX_CONCURRENT_LISTS = 64
# Largest list that is read, bytes: some 20,000 parts. Several engines may be faulty at
# once, and the smallest hosts have 128 MB.
MAX_LIST_BYTES = 1 << 20


class KeptPart(msgspec.Struct, array_like=True):
    """A part that an engine keeps, in whole or up to some token.

    ``n_tokens`` includes what was generated after the last part of a prompt.
    """

    label: str
    name: str
    n_tokens: float


class CacheDocument(msgspec.Struct):
    """What an engine keeps."""

    held: list[KeptPart]


_CACHE = msgspec.json.Decoder(CacheDocument)


class EngineCacheSource(BasePromptPartSource):
    """Reads what engines keep over their own interface.

    :param loop: event loop.
    """

    def __init__(self, loop):
        self.loop = loop
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_LISTS)

    async def list_parts(self, address):
        async with self.limiter:
            client = HttpClient(address, self.loop, MAX_LIST_BYTES)
            try:
                response = await client.fetch(LIST_PATH, LIST_TIMEOUT_S)
                if response.status != 200:
                    return None
                held = _CACHE.decode(response.body).held
                return {
                    parse_part_name(part.name.encode()): part.n_tokens for part in held
                }
            except (FetchError, msgspec.DecodeError, ValueError, RecursionError):
                return None
            finally:
                client.close()
