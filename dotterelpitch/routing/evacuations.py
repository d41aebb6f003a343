"""The failure domains that are evacuated: their engines get no requests.

An operator asks for an evacuation in the store and takes it back there. What was asked
last holds while the store is away.
"""

from collections.abc import Callable, Iterable

from attrs import define, field

from dotterelpitch.clock import Clock
from dotterelpitch.telemetry.events import Event, log_event

# A store that is restored from an older copy may lack an evacuation until the operator
# writes it again, which takes about two seconds.
RESTORE_HOLD_SECONDS = 5.0
# One log line names at most so many domains.
MAX_LOGGED_DOMAINS = 10


def _ignore(domains: frozenset[str]) -> None:
    """Ignore a change of the evacuated domains."""


@define
class Evacuations:
    """The evacuated failure domains, kept up to date from the records of the store.

    ``on_change`` is called with all evacuated domains whenever they change.

    >>> from dotterelpitch.clock import ManualClock
    >>> evacuations = Evacuations(ManualClock())
    >>> evacuations.begin("a")
    >>> evacuations.end("b")
    >>> sorted(evacuations.domains)
    ['a']
    """

    _clock: Clock
    on_change: Callable[[frozenset[str]], None] = _ignore
    domains: frozenset[str] = frozenset()
    _held_until_by_domain: dict[str, float] = field(factory=dict)

    def begin(self, domain: str) -> None:
        """Evacuate a failure domain."""
        self._held_until_by_domain.pop(domain, None)
        self._replace(self.domains | {domain})

    def end(self, domain: str) -> None:
        """Take the evacuation of a failure domain back."""
        self._held_until_by_domain.pop(domain, None)
        self._replace(self.domains - {domain})

    def replace_all(self, listed: Iterable[str], is_restored: bool = False) -> None:
        """Evacuate exactly the domains of a full list.

        From a store that ``is_restored`` from an older copy, those that it lacks are
        held for ``RESTORE_HOLD_SECONDS``.
        """
        domains = frozenset(listed)
        held = self._held_until_by_domain
        self._held_until_by_domain = {d: held[d] for d in held.keys() - domains}
        if is_restored:
            until = self._clock.monotonic() + RESTORE_HOLD_SECONDS
            for domain in self.domains - domains:
                self._held_until_by_domain.setdefault(domain, until)
        self._replace(domains | self.held())

    def held(self) -> frozenset[str]:
        """Return the domains that stay evacuated although the last list lacks them."""
        return frozenset(self._held_until_by_domain)

    def expire(self) -> list[str]:
        """End the evacuations that weren't written again, and return their domains."""
        now = self._clock.monotonic()
        expired = [d for d, until in self._held_until_by_domain.items() if until <= now]
        for domain in expired:
            self.end(domain)
        return expired

    def next_expiry_at(self) -> float:
        """Return the monotonic time at which ``expire`` ends the next evacuation."""
        return min(self._held_until_by_domain.values(), default=float("inf"))

    def _replace(self, domains: frozenset[str]) -> None:
        before = self.domains
        if domains == before:
            return
        self.domains = domains
        _log(Event.EVACUATION_BEGAN, domains - before)
        _log(Event.EVACUATION_ENDED, before - domains)
        self.on_change(domains)


def _log(event: Event, domains: frozenset[str]) -> None:
    if domains:
        named = sorted(domains)[:MAX_LOGGED_DOMAINS]
        log_event(event, failure_domains=named, count=len(domains))
