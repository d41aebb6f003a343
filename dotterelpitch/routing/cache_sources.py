"""Finds engines from which another one can copy a cached prompt.

Copying the cached prompt saves the chosen engine from processing it again.
"""

from collections.abc import Callable, Sequence

from attrs import define

from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.prompt_cache_index import PromptCacheIndex

# An engine known for less than this isn't yet the usual engine of its chats: they
# were sent to another one before it joined.
SETTLED_SECONDS = 8.0

RankEngines = Callable[[list[str], str], list[str]]
EnginePredicate = Callable[[Engine], bool]


@define
class CacheSources:
    """Finds the engine that most likely holds a prompt in its cache.

    The usual engine of a chat depends on rank alone, so every VM can determine it,
    even one that has never sent the chat there. Which other engines hold parts of the
    prompt is known from this VM's own requests.
    """

    _directory: EngineDirectory
    _cache_index: PromptCacheIndex

    def find(
        self,
        service: str,
        shared_parts: Sequence[str],
        chosen: Engine,
        rank: RankEngines,
        is_trusted: EnginePredicate,
    ) -> Engine | None:
        """Return the engine to copy from, or None.

        None means that ``chosen`` needs no copy or that no other engine is known to
        hold the prompt. Copying from an engine that doesn't respond delays the
        first token, so only engines for which ``is_trusted`` is true are returned.
        ``rank`` returns engine ids in the rank order of a cache key.
        """
        if self._cache_index.holds(chosen.run_id, shared_parts[-1]):
            return None
        candidates = self._usual_engines(service, shared_parts, chosen, rank)
        candidates += self._engines_holding_more(shared_parts, chosen)
        return next((engine for engine in candidates if is_trusted(engine)), None)

    def _usual_engines(
        self,
        service: str,
        shared_parts: Sequence[str],
        chosen: Engine,
        rank: RankEngines,
    ) -> list[Engine]:
        """Return the engine that the chat used before, unless it is ``chosen``.

        The list is empty or has one element.
        """
        holder_by_id = {
            engine.id: engine
            for engine in self._directory.cache_holders(service, SETTLED_SECONDS)
        }
        if not holder_by_id:
            return []
        usual_id = rank(sorted(holder_by_id), shared_parts[-1])[0]
        return [] if usual_id == chosen.id else [holder_by_id[usual_id]]

    def _engines_holding_more(
        self, shared_parts: Sequence[str], chosen: Engine
    ) -> list[Engine]:
        """Return the engines to which this VM has sent more of the prompt."""
        run_ids = self._cache_index.runs_holding_more(chosen.run_id, shared_parts)
        if not run_ids:
            return []
        engine_by_run = {
            engine.run_id: engine
            for engine in self._directory.engine_by_id.values()
            if not self._directory.is_evacuated(engine)
        }
        return [engine_by_run[run_id] for run_id in run_ids if run_id in engine_by_run]
