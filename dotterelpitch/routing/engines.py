"""Directory of the registered engines, tolerant of registry outages.

Entries come from a registry that can be unavailable for a while and can lose
entries meanwhile. An engine that is missing from the first full list after an
outage stays in the directory for ``reregistration_s``, in which it can register
again.
"""

from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.version_history import ServiceVersion, VersionHistory

# A running engine registers again within this time after the registry is back.
REREGISTRATION_SECONDS = 2.0
# An engine that is deregistered without notice keeps serving for at least this long.
DEREGISTERED_RUN_SECONDS = 1.5
# An engine that has announced that it leaves keeps serving for the drain time and
# about this long after it.
POST_DRAIN_SECONDS = 1.2
DEFAULT_DRAIN_SECONDS = 2.0


@frozen
class EngineRun:
    """One run of an engine, from ``started_ms``, which is 0 if unknown."""

    engine_id: str
    started_ms: int


@frozen
class Engine:
    """An engine as registered.

    ``address`` is ``IP:port``. ``started_ms`` is its start time in Unix
    milliseconds, or 0 if unknown. An engine may restart under the same id.
    ``version`` is that of its software, or empty if unknown. ``cold_left_s`` is for how
    many seconds it said that it stays cold, when it wrote its record, or None; it
    doesn't tell two records apart.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int = 0
    is_leaving: bool = False
    started_ms: int = 0
    version: str = ""
    cold_left_s: float | None = field(default=None, eq=False)

    @property
    def service_version(self) -> ServiceVersion:
        """The service together with the software version."""
        return ServiceVersion(self.service, self.version)

    @property
    def run(self) -> EngineRun:
        """This run of the engine."""
        return EngineRun(self.id, self.started_ms)

    @property
    def run_id(self) -> str:
        """Id of this run of the engine, different after each restart."""
        return f"{self.id}@{self.started_ms}"


def _never(run: EngineRun) -> bool:
    """Return False: nothing is known of the run."""
    return False


@define
class EngineDirectory:
    """Registered engines by id, and the recently deregistered ones.

    ``drain_s`` is the drain time of leaving engines in seconds, and
    ``reregistration_s`` how long a missing one is kept. ``on_restart`` is
    called with the previous run of an engine that has registered with a later start.
    ``version_history`` holds the versions that were listed lately.
    ``is_known_to_leave`` returns whether a run leaves whatever the registry says;
    ``update`` applies what has changed of that. The engines of ``evacuated_domains``
    accept no requests, and no prompt is copied from them.

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
    reregistration_s: float = REREGISTRATION_SECONDS
    on_restart: Callable[[Engine], None] | None = None
    engine_by_id: dict[str, Engine] = field(factory=dict)
    _registered_by_id: dict[str, Engine] = field(factory=dict)
    _first_seen_by_id: dict[str, float] = field(factory=dict)
    _leaving_since_by_id: dict[str, float] = field(factory=dict)
    _departed_by_id: dict[str, tuple[float, Engine]] = field(factory=dict)
    _missing_since_by_id: dict[str, float] = field(factory=dict)
    _usable_by_service: dict[str, list[Engine]] = field(factory=dict)
    version_history: VersionHistory = field(init=False)
    is_known_to_leave: Callable[[EngineRun], bool] = field(default=_never)
    evacuated_domains: frozenset[str] = frozenset()

    def __attrs_post_init__(self) -> None:
        self.version_history = VersionHistory(self._clock)

    def put(self, engine: Engine) -> None:
        """Add an engine, or replace its entry with a newer one."""
        self._registered_by_id[engine.id] = engine
        if not engine.is_leaving and self.is_known_to_leave(engine.run):
            engine = evolve(engine, is_leaving=True)
        self._missing_since_by_id.pop(engine.id, None)
        previous = self.engine_by_id.get(engine.id)
        if previous == engine:
            return
        is_new_run = previous is None or previous.started_ms != engine.started_ms
        if is_new_run:
            self._first_seen_by_id[engine.id] = self._clock.monotonic()
        if is_new_run and previous is not None and self.on_restart is not None:
            self.on_restart(previous)
        if previous is not None:
            self.version_history.record(previous.service_version)
        self.version_history.record(engine.service_version)
        if engine.is_leaving:
            now = self._clock.monotonic()
            self._leaving_since_by_id.setdefault(engine.id, now)
        else:
            self._leaving_since_by_id.pop(engine.id, None)
        self.engine_by_id[engine.id] = engine
        self._usable_by_service.clear()

    def update(self, engine_id: str) -> None:
        """Apply what has become known of whether an engine leaves."""
        if engine_id in self.engine_by_id:
            missing_since = self._missing_since_by_id.get(engine_id)
            self.put(self._registered_by_id[engine_id])
            if missing_since is not None:
                self._missing_since_by_id[engine_id] = missing_since

    def evacuate(self, domains: frozenset[str]) -> None:
        """Replace the evacuated failure domains."""
        self.evacuated_domains = domains
        self._usable_by_service.clear()

    def is_evacuated(self, engine: Engine) -> bool:
        """Return whether the failure domain of an engine is evacuated."""
        return engine.failure_domain in self.evacuated_domains

    def has_only_evacuated(self, service: str) -> bool:
        """Return whether evacuations alone keep a service from accepting requests."""
        if not self.evacuated_domains or self.usable(service):
            return False
        return any(not engine.is_leaving for engine in self.listed(service))

    def may_accept(self, engine: Engine) -> bool:
        """Return whether an engine accepts new requests, as far as is known."""
        return not engine.is_leaving and not self.is_evacuated(engine)

    def remove(self, engine_id: str) -> None:
        """Remove an engine whose entry was deleted from the registry.

        Unless it had announced that it leaves, it stays a cache holder for
        ``DEREGISTERED_RUN_SECONDS``.
        """
        self._missing_since_by_id.pop(engine_id, None)
        engine = self.engine_by_id.pop(engine_id, None)
        self._registered_by_id.pop(engine_id, None)
        if engine is None:
            return
        self.version_history.record(engine.service_version)
        self._first_seen_by_id.pop(engine_id, None)
        self._leaving_since_by_id.pop(engine_id, None)
        if not engine.is_leaving:
            self._departed_by_id[engine_id] = (self._clock.monotonic(), engine)
        self._usable_by_service.clear()

    def replace_all(
        self, engines: Iterable[Engine], may_be_incomplete: bool, age_s: float = 0.0
    ) -> None:
        """Replace all entries with a full list from the registry.

        With ``may_be_incomplete``, engines that aren't listed are only marked as
        missing; ``expire`` removes them if they are still missing
        ``reregistration_s`` after the list, which is ``age_s`` old.
        """
        listed_ids = set()
        for engine in engines:
            listed_ids.add(engine.id)
            self.put(engine)
        self.version_history.start()
        now = self._clock.monotonic()
        for engine_id in self.engine_by_id.keys() - listed_ids:
            if may_be_incomplete:
                self._missing_since_by_id.setdefault(engine_id, now - age_s)
            else:
                self.remove(engine_id)

    def missing_ids(self) -> set[str]:
        """Return the ids of engines that are marked as missing."""
        return set(self._missing_since_by_id)

    def expire(self) -> dict[str, float]:
        """Remove engines that have been missing for too long.

        Return by id for how many seconds they have been.
        """
        now = self._clock.monotonic()
        expired = {
            i: now - missing_since
            for i, missing_since in self._missing_since_by_id.items()
            if missing_since <= now - self.reregistration_s
        }
        for engine_id in expired:
            self.remove(engine_id)
        return expired

    def next_expiry_at(self) -> float:
        """Return the monotonic time at which ``expire`` removes the next engine."""
        missing_since = min(self._missing_since_by_id.values(), default=float("inf"))
        return missing_since + self.reregistration_s

    def usable(self, service: str) -> list[Engine]:
        """Return the engines of ``service`` that accept new requests, sorted by id."""
        engines = self._usable_by_service.get(service)
        if engines is None:
            engines = [
                engine
                for _, engine in sorted(self.engine_by_id.items())
                if engine.service == service and self.may_accept(engine)
            ]
            self._usable_by_service[service] = engines
        return engines

    def usable_count(self) -> int:
        """Return how many engines of all services accept new requests."""
        return sum(map(self.may_accept, self.engine_by_id.values()))

    def usable_ids_in(self, failure_domain: str) -> list[str]:
        """Return the engines of a failure domain that accept new requests."""
        return [
            engine.id
            for engine in self.engine_by_id.values()
            if engine.failure_domain == failure_domain and self.may_accept(engine)
        ]

    def listed(self, service: str) -> list[Engine]:
        """Return all registered engines of ``service``, leaving ones included."""
        return [e for e in self.engine_by_id.values() if e.service == service]

    def recent_versions(self, service: str, within_s: float) -> set[str]:
        """Return the software versions of the engines of the last ``within_s`` seconds.

        Leaving engines and those that are gone meanwhile are included, as far as
        ``version_history`` reaches back.
        """
        oldest = self._clock.monotonic() - within_s
        recent = self.versions_listed_until()
        return {
            v.version
            for v, at in recent.items()
            if v.service == service and at >= oldest
        }

    def versions_listed_until(self) -> dict[ServiceVersion, float]:
        """Return the versions listed lately, each with the time until which it was."""
        for engine in self.engine_by_id.values():
            self.version_history.record(engine.service_version)
        return self.version_history.since(float("-inf"))

    def cache_holders(self, service: str, settled_s: float) -> list[Engine]:
        """Return the engines whose caches may hold chats from ``settled_s`` ago.

        These are the engines known for at least ``settled_s`` seconds, leaving ones
        included until their drain time is over, and those deregistered without
        notice a moment ago, which may still be running. Those of evacuated failure
        domains are left out.
        """
        now = self._clock.monotonic()
        self._expire_departed(now)
        oldest = now - self.drain_s - POST_DRAIN_SECONDS
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
        return [engine for engine in holders if not self.is_evacuated(engine)]

    def mark_settled(self) -> None:
        """Treat all current engines as known for a long time.

        For the first list after a process start: engines that are new to the
        process haven't necessarily just joined.
        """
        for engine_id in self._first_seen_by_id:
            self._first_seen_by_id[engine_id] = float("-inf")

    def remembered_ids(self) -> set[str]:
        """Return the ids of all engines that can be cache holders."""
        self._expire_departed(self._clock.monotonic())
        return self.engine_by_id.keys() | self._departed_by_id.keys()

    def _expire_departed(self, now: float) -> None:
        for engine_id, (at, _) in list(self._departed_by_id.items()):
            if at < now - DEREGISTERED_RUN_SECONDS:
                del self._departed_by_id[engine_id]
