"""Lookup of the engines that keep the prompt of a stream."""

import asyncio
from abc import ABC, abstractmethod

import anyio

from catkinfork.balancing import EngineCache
from catkinfork.forwarding._caller import report_error

# Time for which the answers of engines are used, seconds. A stream that began later is
# known to the forwarder that carries it.
MAX_LIST_AGE_S = 1.0


class BasePromptPartSource(ABC):
    """Lists the prompt parts that an engine keeps."""

    @abstractmethod
    async def list_parts(self, address):
        """Return the tokens that are kept by id of the part, or None without an answer.

        The tokens that were generated after the last part of a prompt count with it.

        :param address: ``host:port`` of the engine.
        """


class CacheLookup:
    """Asks all engines of a service for the prompt parts that they keep.

    Load pattern: all forwarders lose power, and the callers of all their streams come
    back within some seconds. Engines are asked once for all of them.

    What they keep is also recorded for placement, as a forwarder that asks has usually
    just started.

    :param balancer: :class:`Balancer`.
    :param source: :class:`BasePromptPartSource`.
    :param spawn: callable that starts a coroutine function with arguments as a task.

    ``listed`` has the monotonic time of the latest answers of a service, the starts of
    the engines that were asked, and a :class:`EngineCache` for each of them;
    ``pending`` has the services that are asked.
    """

    def __init__(self, balancer, source, spawn):
        self.balancer = balancer
        self.source = source
        self.spawn = spawn
        self.listed = {}
        self.pending = set()

    def request(self, service, now):
        """Ask the engines of a service, unless this was done just before."""
        if service not in self.pending and self.find(service, now) is None:
            self.pending.add(service)
            self.spawn(self.list_service, service)

    def find(self, service, now):
        """Return an :class:`EngineCache` for each engine, None without such answers.

        An engine that has become known since has to be asked as well.
        """
        listed_at, asked, caches = self.listed.get(service, (None, None, None))
        if listed_at is None or now - listed_at > MAX_LIST_AGE_S:
            return None
        known = {find_start(one) for one in self.list_engines(service)}
        return caches if known <= asked else None

    def list_engines(self, service):
        """Return the known engines of a service."""
        backends = self.balancer.registry.backends.values()
        return [backend for backend in backends if backend.service == service]

    async def list_service(self, service):
        """Ask all engines of a service at once."""
        caches = []
        backends = self.list_engines(service)
        asked = {find_start(backend) for backend in backends}
        try:
            async with anyio.create_task_group() as tasks:
                for backend in backends:
                    tasks.start_soon(self.list_engine, backend, caches)
        finally:
            self.pending.discard(service)
        self.listed[service] = (anyio.current_time(), asked, caches)

    async def list_engine(self, backend, caches):
        """Ask one engine and append its :class:`EngineCache`.

        :param backend: :class:`Backend`.
        """
        version = backend.entry.version
        parts = None
        try:
            parts = await self.source.list_parts(backend.entry.address)
        except Exception as error:
            # Unexpected; without this, it would end the process.
            report_error(asyncio.get_running_loop(), error)
        caches.append(EngineCache(version, parts))
        if parts is not None:
            self.balancer.record_cached_parts(backend, parts)


def find_start(backend):
    """Return what identifies one start of an engine.

    :param backend: :class:`Backend`.
    """
    return backend.name, backend.entry.version, backend.entry.started_ms
