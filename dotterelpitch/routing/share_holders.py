"""The VMs that hold a share of what one engine takes, while nothing else is known.

Every VM ranks the fleet by rendezvous hashing of the engine, so all name the same few
holders without a message. A VM that doesn't know the others well enough holds nothing.
"""

from collections.abc import Callable, Collection

import xxhash
from attrs import define, field

from dotterelpitch.clock import Clock

# So many VMs hold equal shares, so that one that is lost takes only its own with it.
HOLDERS = 3
# The fleet is looked up again after this time.
REFRESH_SECONDS = 0.25
# The fleet must have been known as it is for so long.
SETTLED_SECONDS = 0.5


@define
class ShareHolders:
    """Which share of the limit of an engine this VM holds.

    ``vm_names`` returns the names of all known VMs, this one included.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(10.0)
    >>> holders = ShareHolders(clock, "vm-1", lambda: ["vm-1"])
    >>> holders.share("e1")
    0.0
    >>> clock.advance(SETTLED_SECONDS)
    >>> holders.share("e1")
    1.0
    """

    _clock: Clock
    _vm: str
    _vm_names: Callable[[], Collection[str]]
    _names: frozenset[str] = frozenset()
    _refreshed_at: float = float("-inf")
    _joined_at: float = float("inf")
    _share_by_engine: dict[str, float] = field(factory=dict)

    def share(self, engine_id: str) -> float:
        """Return the share, from 0 to 1, that this VM holds."""
        self._refresh()
        if self._clock.monotonic() - self._joined_at < SETTLED_SECONDS:
            return 0.0
        share = self._share_by_engine.get(engine_id)
        if share is None:
            share = self._share_by_engine[engine_id] = self._compute(engine_id)
        return share

    def _refresh(self) -> None:
        """Look up the fleet; a VM that has joined it may hold shares here still."""
        now = self._clock.monotonic()
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        names = frozenset(self._vm_names())
        if names == self._names:
            return
        if names - self._names:
            self._joined_at = now
        self._names = names
        self._share_by_engine.clear()

    def _compute(self, engine_id: str) -> float:
        count = min(HOLDERS, len(self._names))
        ranked = sorted(self._names, key=lambda name: _rank(name, engine_id))
        return 1.0 / count if self._vm in ranked[:count] else 0.0


def _rank(vm: str, engine_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{engine_id}\x00{vm}".encode())
