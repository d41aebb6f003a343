"""Which engine runs hold which parts of prompts, from what this VM has sent them.

Chats share the first parts of their prompts, such as a handbook, with chats
that live at other engines. An engine that gets the first chat of a handbook can
copy the handbook from one that has read it. Engines are named by their run, for
a restart loses what was read.
"""

from collections import OrderedDict
from collections.abc import Sequence

from attrs import define, field

from dotterelpitch.clock import Clock

# Parts that nobody has asked for in this long may have been dropped by engines.
HOLD_SECONDS = 60.0
# Bounds the memory; a part takes about 500 bytes.
MAX_PARTS = 10_000


@define
class PromptCacheIndex:
    """The runs that have read each part of a prompt, by part id.

    >>> from dotterelpitch.clock import ManualClock
    >>> holders = PromptCacheIndex(ManualClock())
    >>> holders.record("e1", ["book", "chat"])
    >>> holders.runs_holding_more("e2", ["book", "other chat"])
    ['e1']
    >>> holders.runs_holding_more("e1", ["book", "other chat"])
    []
    """

    _clock: Clock
    _read_at_by_run_by_part: OrderedDict[str, dict[str, float]] = field(
        factory=OrderedDict
    )

    def record(self, run: str, part_ids: Sequence[str]) -> None:
        """Take in that an engine run has read these parts."""
        now = self._clock.monotonic()
        by_part = self._read_at_by_run_by_part
        for part_id in part_ids:
            by_part.setdefault(part_id, {})[run] = now
            by_part.move_to_end(part_id)
        while len(by_part) > MAX_PARTS:
            by_part.popitem(last=False)

    def holds(self, run: str, part_id: str) -> bool:
        """Return whether a run has read a part lately."""
        read_at = self._read_at_by_run_by_part.get(part_id, {})
        oldest = self._clock.monotonic() - HOLD_SECONDS
        return read_at.get(run, float("-inf")) >= oldest

    def runs_holding_more(self, run: str, part_ids: Sequence[str]) -> list[str]:
        """Return engine runs that hold more of a prompt than ``run`` may.

        ``part_ids`` are in order; a part counts only with all parts before it.
        They are those of the deepest part that any other one has read,
        the latest first; none when ``run`` has read as much itself.
        """
        oldest = self._clock.monotonic() - HOLD_SECONDS
        for part_id in reversed(part_ids):
            read_at = self._read_at_by_run_by_part.get(part_id, {})
            recent = {r: at for r, at in read_at.items() if at >= oldest}
            if run in recent:
                return []
            if recent:
                return sorted(recent, key=recent.get, reverse=True)
        return []
