"""Detects from a few calls that a whole failure domain can't be reached.

A network partition makes all engines of a failure domain unreachable at once.
Finding that out engine by engine costs one timed-out call each, so two unreachable
engines, with no response from their domain since, are enough to avoid the domain.
"""

from attrs import define, field

from dotterelpitch.clock import Clock

# Unreachable engines that make their whole domain count as unreachable.
MIN_UNREACHABLE_ENGINES = 2
# How long an unreachable engine counts after its last failed call.
UNREACHABLE_TTL_SECONDS = 2.0


@define
class DomainReachability:
    """Recently unreachable engines by failure domain.

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
    _failed_at_by_engine_by_domain: dict[str, dict[str, float]] = field(factory=dict)
    _heard_at_by_domain: dict[str, float] = field(factory=dict)

    def record_unreachable(self, domain: str, engine_id: str) -> None:
        """Record an engine that didn't answer a connection attempt or sent data."""
        failed_at_by_engine = self._failed_at_by_engine_by_domain.setdefault(domain, {})
        failed_at_by_engine[engine_id] = self._clock.monotonic()

    def record_response(self, domain: str) -> None:
        """Record a response from any engine of a domain."""
        self._failed_at_by_engine_by_domain.pop(domain, None)

    def heard_from(self, domain: str) -> None:
        """Record bytes from an engine or a peer in a domain."""
        self._heard_at_by_domain[domain] = self._clock.monotonic()

    def is_reached_since(self, domain: str, at: float) -> bool:
        """Return whether the network path to a domain has worked since ``at``.

        ``at`` is a time of the monotonic clock. The path to the VM's own domain works
        if any path does.
        """
        if domain == self.own_domain:
            return any(heard_at >= at for heard_at in self._heard_at_by_domain.values())
        return self._heard_at_by_domain.get(domain, float("-inf")) >= at

    def is_unreachable(self, domain: str) -> bool:
        """Return whether all engines of ``domain`` should be avoided now.

        A VM's own domain never counts as unreachable: its engines are the last
        that a partition separates from the VM.
        """
        failed_at_by_engine = self._failed_at_by_engine_by_domain.get(domain)
        if not failed_at_by_engine or domain == self.own_domain:
            return False
        oldest = self._clock.monotonic() - UNREACHABLE_TTL_SECONDS
        return (
            sum(at >= oldest for at in failed_at_by_engine.values())
            >= MIN_UNREACHABLE_ENGINES
        )
