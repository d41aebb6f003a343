"""Notices from a few calls that a whole failure domain can't be reached.

A cut takes away all engines of a failure domain at once. To learn it engine by
engine costs one slow call each; two engines that give no sign of life, with no
answer from their domain since, are enough.
"""

from attrs import define, field

from dotterelpitch.clock import Clock

# Engines that must give no sign of life before their domain is passed over.
SILENT_ENGINES = 2
# How long such a sign counts; calls that try again renew it.
SIGN_SECONDS = 2.0


@define
class DomainReachability:
    """Signs of unreachable engines, by failure domain.

    >>> from dotterelpitch.clock import ManualClock
    >>> reach = DomainReachability(ManualClock(), own_domain="a")
    >>> reach.record_unreachable("b", "e1")
    >>> reach.is_unreachable("b")
    False
    >>> reach.record_unreachable("b", "e2")
    >>> reach.is_unreachable("b")
    True
    >>> reach.record_response("b")
    >>> reach.is_unreachable("b")
    False
    """

    _clock: Clock
    own_domain: str
    _signs_by_domain: dict[str, dict[str, float]] = field(factory=dict)

    def record_unreachable(self, domain: str, engine_id: str) -> None:
        """Note an engine that gave no sign of life."""
        signs = self._signs_by_domain.setdefault(domain, {})
        signs[engine_id] = self._clock.monotonic()

    def record_response(self, domain: str) -> None:
        """Note any answer from a domain."""
        self._signs_by_domain.pop(domain, None)

    def is_unreachable(self, domain: str) -> bool:
        """Whether all engines of ``domain`` should be passed over now.

        Its own domain a VM never takes for cut off: its engines are the last
        that it loses.
        """
        signs = self._signs_by_domain.get(domain)
        if not signs or domain == self.own_domain:
            return False
        oldest = self._clock.monotonic() - SIGN_SECONDS
        return sum(at >= oldest for at in signs.values()) >= SILENT_ENGINES
