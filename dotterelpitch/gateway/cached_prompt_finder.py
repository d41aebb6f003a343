"""Finds out which engine versions have a prompt in their caches, by asking engines.

The last part of a prompt is specific to its request. So an engine that has it in its
cache has run that request, which is known even after all VMs have been lost.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.errors import DotterelpitchError
from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.call_log import MAX_LOGGED_CHARS
from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.ranking import RankTable
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.cache_query import read_cached_parts

# The engines are asked in the rank order of the prompt: so many at once, and then
# the others up to this number, since each answer delays an engine's work.
FIRST_ASKED = 3
MAX_ASKED = 8
# A list is used again for so long, so that an engine isn't asked for each stream. A
# stream that its caller names began before the VMs that don't know it had started; one
# without a name may have begun just now.
LIST_TTL_SECONDS = 2.0
UNNAMED_LIST_TTL_SECONDS = 0.2

ReadParts = Callable[[str, str], Awaitable[frozenset[str]]]


@frozen
class _Query:
    """A query of an engine's cache that began at ``at``, running or done."""

    at: float
    parts: asyncio.Task[frozenset[str]]

    def has_found(self, part: str) -> bool:
        """Return whether the query is done, and the part was in the cache."""
        return self.parts.done() and part in self.parts.result()


@define
class CachedPromptFinder:
    """Asks engines for the prompt parts in their caches, and keeps the lists a while.

    >>> await CachedPromptFinder(clock, directory).find_versions(call)
    {'v2'}
    """

    _clock: Clock
    _directory: EngineDirectory
    _read_parts: ReadParts = read_cached_parts
    _query_by_run: dict[str, _Query] = field(factory=dict, init=False)

    async def find_versions(self, call: Call) -> set[str]:
        """Return the versions of the engines that have run a request before.

        The set is empty if none is found, or if the prompt doesn't identify the
        request.
        """
        if not call.leading_parts:
            return set()
        self._drop_old_queries()
        own_part = call.prompt_parts[-1]
        ttl_s = LIST_TTL_SECONDS
        if not call.headers.resumes:
            ttl_s = UNNAMED_LIST_TTL_SECONDS
        versions: set[str] = set()
        for engines in self._groups_to_ask(call):
            found = await asyncio.gather(
                *(self._holds(engine, own_part, ttl_s) for engine in engines)
            )
            pairs = zip(engines, found, strict=True)
            versions = {engine.version for engine, holds in pairs if holds}
            if versions:
                break
        log_event(
            Event.STREAM_ORIGIN_SOUGHT,
            request=call.request_id,
            resumes=call.headers.resumes[:MAX_LOGGED_CHARS],
            part=own_part,
            versions=sorted(versions),
        )
        return versions

    def _groups_to_ask(self, call: Call) -> Iterator[list[Engine]]:
        engine_by_id = {
            engine.id: engine
            for engine in self._directory.listed(call.service)
            if not self._directory.is_evacuated(engine)
        }
        table = RankTable(dict.fromkeys(engine_by_id, 1))
        ranked_ids = table.order(call.shared_parts[-1], MAX_ASKED)
        engines = [engine_by_id[engine_id] for engine_id in ranked_ids]
        yield engines[:FIRST_ASKED]
        yield engines[FIRST_ASKED:]

    async def _holds(self, engine: Engine, part: str, ttl_s: float) -> bool:
        query = self._query_by_run.get(engine.run_id)
        now = self._clock.monotonic()
        if query is not None and query.has_found(part):
            return True
        if query is None or query.at < now - ttl_s:
            query = _Query(now, asyncio.create_task(self._query(engine)))
            self._query_by_run[engine.run_id] = query
        # A caller that leaves doesn't end a query that others wait for.
        return part in await asyncio.shield(query.parts)

    async def _query(self, engine: Engine) -> frozenset[str]:
        """Return the engine's cached parts; none if it doesn't say."""
        try:
            return await self._read_parts(engine.id, engine.address)
        except (DotterelpitchError, TimeoutError) as error:
            log_event(Event.CACHE_LIST_FAILED, engine=engine.id, reason=repr(error))
            return frozenset()

    def _drop_old_queries(self) -> None:
        oldest = self._clock.monotonic() - 10 * LIST_TTL_SECONDS
        for run_id, query in list(self._query_by_run.items()):
            if query.at < oldest:
                del self._query_by_run[run_id]
