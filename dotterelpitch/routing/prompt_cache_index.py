"""Index of the engine runs that hold parts of prompts in their caches.

Chats share the leading parts of their prompts, such as a handbook, with chats that
use other engines. An engine that gets the first chat of a handbook can copy the
handbook from an engine that has processed it. The index is built from the requests of
this VM, and its entries are runs of engines, since a restart empties the cache.
"""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

from dotterelpitch.clock import Clock

# Engines may have evicted parts that weren't requested within this time.
PART_TTL_SECONDS = 60.0
# Bounds the memory to about 5 MB, at some 500 bytes a part.
MAX_PARTS = 10_000


@define
class PromptCacheIndex:
    """Time at which each engine run last processed a prompt part, by part id.

    A part id identifies a part together with all parts before it.

    >>> from dotterelpitch.clock import ManualClock
    >>> index = PromptCacheIndex(ManualClock())
    >>> index.record("e1", ["book", "chat"])
    >>> index.runs_holding_more("e2", ["book", "other chat"])
    ['e1']
    >>> index.runs_holding_more("e1", ["book", "other chat"])
    []
    """

    _clock: Clock
    _processed_at_by_run_by_part: OrderedDict[str, dict[str, float]] = field(
        factory=OrderedDict
    )

    def record(self, run_id: str, part_ids: Sequence[str]) -> None:
        """Record that an engine run has processed these parts."""
        now = self._clock.monotonic()
        by_part_id = self._processed_at_by_run_by_part
        for part_id in part_ids:
            by_part_id.setdefault(part_id, {})[run_id] = now
            by_part_id.move_to_end(part_id)
        while len(by_part_id) > MAX_PARTS:
            by_part_id.popitem(last=False)

    def holds(self, run_id: str, part_id: str) -> bool:
        """Return whether a run has processed a part within ``PART_TTL_SECONDS``."""
        processed_at_by_run = self._processed_at_by_run_by_part.get(part_id, {})
        oldest = self._clock.monotonic() - PART_TTL_SECONDS
        return processed_at_by_run.get(run_id, float("-inf")) >= oldest

    def runs_holding_more(self, run_id: str, part_ids: Sequence[str]) -> list[str]:
        """Return the ids of runs that hold more of a prompt than ``run_id``.

        ``part_ids`` are in prompt order; a part counts only with all parts before
        it. The result has the runs that hold the longest known prefix, most recent
        first. It is empty if ``run_id`` holds that prefix itself.
        """
        oldest = self._clock.monotonic() - PART_TTL_SECONDS
        for part_id in reversed(part_ids):
            processed_at_by_run = self._processed_at_by_run_by_part.get(part_id, {})
            recent = {
                run: at for run, at in processed_at_by_run.items() if at >= oldest
            }
            if run_id in recent:
                return []
            if recent:
                return sorted(recent, key=recent.get, reverse=True)
        return []
