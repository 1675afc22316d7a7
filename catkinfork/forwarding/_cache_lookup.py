"""Lookup of the engines that keep the prompt of a stream."""

import asyncio
from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio

from catkinfork.balancing import EngineCache
from catkinfork.forwarding._caller import report_error

# Time for which the answer of an engine is used, seconds. A stream that began later is
# known to the forwarder that carries it.
MIN_ANSWER_AGE_S = 1.0
MAX_ANSWER_AGE_S = 2.0
# Questions of all forwarders to one engine, whose work they delay, if each forwarder
# asks as often as it may.
MAX_QUESTIONS_PER_S = 40.0


class EngineAnswer(NamedTuple):
    """The last answer of an engine.

    :param answered_at: monotonic time, seconds.
    :param cache: :class:`EngineCache`.
    """

    answered_at: float
    cache: EngineCache


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

    ``answers`` has an :class:`EngineAnswer` by service and start of an engine, and
    ``pending`` the services that are asked.
    """

    def __init__(self, balancer, source, spawn):
        self.balancer = balancer
        self.source = source
        self.spawn = spawn
        self.answers = {}
        self.pending = set()

    def request(self, service, now):
        """Ask the engines of a service, except those that answered just before."""
        backends = self.list_unanswered(service, now)
        if backends and service not in self.pending:
            self.pending.add(service)
            self.spawn(self.list_service, service, backends)

    def find(self, service, now):
        """Return an :class:`EngineCache` for each engine, None without such answers.

        An engine that has become known since has to be asked as well.
        """
        if self.list_unanswered(service, now):
            return None
        self.remove_outdated(service, now)
        return [answer.cache for answer in self.answers.get(service, {}).values()]

    def list_unanswered(self, service, now):
        """Return the known engines of a service whose answers are missing or too old.

        :returns: :class:`Backend` objects.
        """
        since = now - self.compute_answer_age_s(now)
        answers = self.answers.get(service, {})
        unanswered = []
        for backend in self.balancer.registry.backends.values():
            if backend.service == service:
                answer = answers.get(find_start(backend.entry))
                if answer is None or answer.answered_at < since:
                    unanswered.append(backend)
        return unanswered

    def remove_outdated(self, service, now):
        """Forget the answers of engines that were not asked again."""
        since = now - self.compute_answer_age_s(now)
        answers = self.answers.get(service, {})
        for start in list(answers):
            if answers[start].answered_at < since:
                del answers[start]

    def compute_answer_age_s(self, now):
        """Return the time for which the answer of an engine is used, seconds."""
        n_forwarders = self.balancer.peers.count_forwarders(now)
        age_s = n_forwarders / MAX_QUESTIONS_PER_S
        return min(MAX_ANSWER_AGE_S, max(MIN_ANSWER_AGE_S, age_s))

    async def list_service(self, service, backends):
        """Ask some engines of a service at once.

        :param backends: :class:`Backend` objects.
        """
        try:
            async with anyio.create_task_group() as tasks:
                for backend in backends:
                    tasks.start_soon(self.list_engine, service, backend)
        finally:
            self.pending.discard(service)
            self.remove_outdated(service, anyio.current_time())

    async def list_engine(self, service, backend):
        """Ask one engine and keep its :class:`EngineCache`.

        :param backend: :class:`Backend`.
        """
        entry = backend.entry
        parts = None
        try:
            parts = await self.source.list_parts(entry.address)
        except Exception as error:
            # Unexpected; without this, it would end the process.
            report_error(asyncio.get_running_loop(), error)
        answer = EngineAnswer(anyio.current_time(), EngineCache(entry.version, parts))
        self.answers.setdefault(service, {})[find_start(entry)] = answer
        if parts is not None:
            self.balancer.record_cached_parts(backend, parts)


def find_start(entry):
    """Return what identifies one start of an engine.

    :param entry: :class:`BackendEntry`.
    """
    return entry.name, entry.version, entry.started_ms
