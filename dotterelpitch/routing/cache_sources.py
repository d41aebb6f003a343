"""From which engine another one may copy a prompt in place of reading it."""

from collections.abc import Callable, Sequence

from attrs import define

from dotterelpitch.routing.engines import Engine, EngineDirectory
from dotterelpitch.routing.prompt_cache_index import PromptCacheIndex

# An engine that has joined later than this isn't yet the usual one of its chats.
SETTLED_SECONDS = 8.0

Ranked = Callable[[list[str], str], list[str]]
Trusted = Callable[[Engine], bool]


@define
class CacheSources:
    """Finds the engine that most likely holds a prompt, if another one does.

    A chat's usual engine is known by rank alone, also to a VM that has never
    sent it there. What else is held is known from this VM's own requests.
    """

    _directory: EngineDirectory
    _holders: PromptCacheIndex

    def find(
        self,
        service: str,
        shared_parts: Sequence[str],
        chosen: Engine,
        ranked: Ranked,
        is_trusted: Trusted,
    ) -> Engine | None:
        """Return the engine to copy from, or None when ``chosen`` needs no copy.

        Copying from an engine that doesn't answer delays the first token, so
        only trusted ones are returned.
        """
        if self._holders.holds(chosen.run_id, shared_parts[-1]):
            return None
        candidates = self._usual(service, shared_parts, chosen, ranked)
        candidates += self._readers(shared_parts, chosen)
        return next((engine for engine in candidates if is_trusted(engine)), None)

    def _usual(
        self,
        service: str,
        shared_parts: Sequence[str],
        chosen: Engine,
        ranked: Ranked,
    ) -> list[Engine]:
        """Return the engine that this chat had until lately, unless chosen."""
        holder_by_id = {
            engine.id: engine
            for engine in self._directory.cache_holders(service, SETTLED_SECONDS)
        }
        if not holder_by_id:
            return []
        usual_id = ranked(sorted(holder_by_id), shared_parts[-1])[0]
        return [] if usual_id == chosen.id else [holder_by_id[usual_id]]

    def _readers(self, shared_parts: Sequence[str], chosen: Engine) -> list[Engine]:
        """Return the engines that this VM has sent more of the prompt to."""
        held_by = self._holders.runs_holding_more(chosen.run_id, shared_parts)
        if not held_by:
            return []
        engine_by_run = {e.run_id: e for e in self._directory.engine_by_id.values()}
        return [engine_by_run[run] for run in held_by if run in engine_by_run]
