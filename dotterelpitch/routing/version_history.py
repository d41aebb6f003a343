"""Which engine versions have served lately, and how far back that is known.

A process that has just started knows what is listed now, but not which versions have
left the registry before. So the history says since when it is complete. A process that
has run for longer tells the others, which then know as much.
"""

from collections.abc import Iterable

from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# Older entries are dropped; nobody asks for a longer history.
RETENTION_SECONDS = 60.0
# A peer's history is news only if it reaches back further by at least this time.
MIN_GAIN_SECONDS = 0.5


@frozen
class ServiceVersion:
    """A software version of the engines of a service."""

    service: str
    version: str


@define
class VersionHistory:
    """The versions listed lately, with the time until which each was listed.

    ``known_since`` is the time of the monotonic clock, in seconds, since when no
    version is missing; infinity before the first list of engines.

    >>> from dotterelpitch.clock import ManualClock
    >>> clock = ManualClock(100.0)
    >>> history = VersionHistory(clock)
    >>> history.start()
    >>> clock.advance(5.0)
    >>> history.reaches_back(4.0), history.reaches_back(30.0)
    (True, False)
    """

    _clock: Clock
    known_since: float = float("inf")
    update_count: int = 0
    _listed_until: dict[ServiceVersion, float] = field(factory=dict)

    @property
    def has_started(self) -> bool:
        """Whether a list of engines has been seen, here or at a peer."""
        return self.known_since < float("inf")

    def start(self) -> None:
        """Record that from now on all listed versions are recorded."""
        self._extend(self._clock.monotonic())

    def record(self, version: ServiceVersion) -> None:
        """Record that an engine of this version is listed, or was until just now."""
        if version not in self._listed_until:
            self.update_count += 1
        self._listed_until[version] = self._clock.monotonic()

    def merge(
        self, listed_until: Iterable[tuple[ServiceVersion, float]], known_since: float
    ) -> None:
        """Add what a peer knows, which is complete since ``known_since``."""
        for version, until in listed_until:
            if version not in self._listed_until:
                self.update_count += 1
            known = self._listed_until.get(version, until)
            self._listed_until[version] = max(known, until)
        self._extend(known_since)

    def reaches_back(self, seconds: float) -> bool:
        """Return whether no version of the last ``seconds`` is missing."""
        return self.known_since <= self._clock.monotonic() - seconds

    def since(self, oldest: float) -> dict[ServiceVersion, float]:
        """Return the versions listed after ``oldest``, with the time until then."""
        self._expire()
        return {v: at for v, at in self._listed_until.items() if at >= oldest}

    def _extend(self, known_since: float) -> None:
        if known_since < self.known_since - MIN_GAIN_SECONDS:
            self.known_since = known_since
            self.update_count += 1

    def _expire(self) -> None:
        oldest = self._clock.monotonic() - RETENTION_SECONDS
        for version, at in list(self._listed_until.items()):
            if at < oldest:
                del self._listed_until[version]
