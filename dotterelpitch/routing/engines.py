"""The engines that a process knows of, and when it stops believing in one.

Entries come from a registry that can be away for a while and that can lose an
entry while it is. An engine that is missing from the first full list after such
a time keeps its place for ``REREGISTRATION_SECONDS``, so it can register again.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# The time in which a living engine registers again once the registry is back.
REREGISTRATION_SECONDS = 2.0
# An engine that leaves without a word serves on for at least this long.
DEPARTED_SECONDS = 1.5
# One that has said that it leaves serves on for the drain time and about this.
LINGER_SECONDS = 1.2
DEFAULT_DRAIN_SECONDS = 2.0


@frozen
class Engine:
    """One engine as it describes itself.

    ``started_ms`` is the Unix millisecond of its start, or 0 when unknown. An
    engine may start again under its id.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 0
    is_leaving: bool = False
    started_ms: int = 0

    @property
    def run_id(self) -> str:
        """What tells this start of the engine from an earlier one."""
        return f"{self.id}@{self.started_ms}"


@define
class EngineDirectory:
    """The engines by id, with those that have left not long ago.

    >>> from dotterelpitch.clock import ManualClock
    >>> directory = EngineDirectory(ManualClock())
    >>> directory.put(Engine("e1", "chat", "127.0.0.1:1", "a"))
    >>> [engine.id for engine in directory.usable("chat")]
    ['e1']
    >>> directory.remove("e1")
    >>> directory.usable("chat")
    []
    """

    _clock: Clock
    drain_s: float = DEFAULT_DRAIN_SECONDS
    engine_by_id: dict[str, Engine] = field(factory=dict)
    _first_seen_by_id: dict[str, float] = field(factory=dict)
    _leaving_since_by_id: dict[str, float] = field(factory=dict)
    _departed_by_id: dict[str, tuple[float, Engine]] = field(factory=dict)
    _missing_since_by_id: dict[str, float] = field(factory=dict)
    _usable_by_service: dict[str, list[Engine]] = field(factory=dict)

    def put(self, engine: Engine) -> None:
        """Take in an engine's newest description of itself."""
        self._missing_since_by_id.pop(engine.id, None)
        old = self.engine_by_id.get(engine.id)
        if old == engine:
            return
        is_new_start = old is None or old.started_ms != engine.started_ms
        if is_new_start:
            self._first_seen_by_id[engine.id] = self._clock.monotonic()
        if engine.is_leaving:
            now = self._clock.monotonic()
            self._leaving_since_by_id.setdefault(engine.id, now)
        else:
            self._leaving_since_by_id.pop(engine.id, None)
        self.engine_by_id[engine.id] = engine
        self._usable_by_service.clear()

    def remove(self, engine_id: str) -> None:
        """Drop an engine whose entry was deleted."""
        self._missing_since_by_id.pop(engine_id, None)
        engine = self.engine_by_id.pop(engine_id, None)
        if engine is None:
            return
        self._first_seen_by_id.pop(engine_id, None)
        self._leaving_since_by_id.pop(engine_id, None)
        if not engine.is_leaving:
            self._departed_by_id[engine_id] = (self._clock.monotonic(), engine)
        self._usable_by_service.clear()

    def replace_all(self, engines: Iterable[Engine], may_be_incomplete: bool) -> None:
        """Take in a full list.

        With ``may_be_incomplete`` the engines that it lacks are dropped only
        when they are still missing ``REREGISTRATION_SECONDS`` later.
        """
        listed_ids = set()
        for engine in engines:
            listed_ids.add(engine.id)
            self.put(engine)
        now = self._clock.monotonic()
        for engine_id in self.engine_by_id.keys() - listed_ids:
            if may_be_incomplete:
                self._missing_since_by_id.setdefault(engine_id, now)
            else:
                self.remove(engine_id)

    def missing_ids(self) -> set[str]:
        """Return the engines that the last full list lacked and that may come back."""
        return set(self._missing_since_by_id)

    def expire(self) -> list[str]:
        """Drop and return the engines that have been missing for too long."""
        oldest = self._clock.monotonic() - REREGISTRATION_SECONDS
        expired = [
            i for i, since in self._missing_since_by_id.items() if since < oldest
        ]
        for engine_id in expired:
            self.remove(engine_id)
        return expired

    def usable(self, service: str) -> list[Engine]:
        """Return the engines of ``service`` that take new requests, by id."""
        engines = self._usable_by_service.get(service)
        if engines is None:
            engines = [
                engine
                for _, engine in sorted(self.engine_by_id.items())
                if engine.service == service and not engine.is_leaving
            ]
            self._usable_by_service[service] = engines
        return engines

    def cache_holders(self, service: str, settled_s: float) -> list[Engine]:
        """Return the engines that may hold what was read ``settled_s`` ago.

        These are the ones known for so long, those that are leaving, and those
        that went a moment ago without a word and may still run.
        """
        now = self._clock.monotonic()
        self._forget_departed(now)
        oldest = now - self.drain_s - LINGER_SECONDS
        holders = [
            engine
            for engine in self.engine_by_id.values()
            if engine.service == service
            and self._first_seen_by_id[engine.id] <= now - settled_s
            and self._leaving_since_by_id.get(engine.id, now) >= oldest
        ]
        holders += [
            engine
            for _, engine in self._departed_by_id.values()
            if engine.service == service and engine.id not in self.engine_by_id
        ]
        return holders

    def mark_settled(self) -> None:
        """Treat all known engines as known for long: the process has just begun."""
        for engine_id in self._first_seen_by_id:
            self._first_seen_by_id[engine_id] = float("-inf")

    def remembered_ids(self) -> set[str]:
        """Return the ids of all engines that can be a cache holder."""
        self._forget_departed(self._clock.monotonic())
        return self.engine_by_id.keys() | self._departed_by_id.keys()

    def _forget_departed(self, now: float) -> None:
        for engine_id, (at, _) in list(self._departed_by_id.items()):
            if at < now - DEPARTED_SECONDS:
                del self._departed_by_id[engine_id]
