"""The addresses of the other gateways: learnt from seeds and from one another."""

from collections.abc import Iterable

from attrs import define, field

from dotterelpitch.clock import Clock

# A gateway that nobody has reached for this long is gone for good.
FORGET_SECONDS = 20.0
# The share of a large fleet that one gateway follows.
MAX_FOLLOWED = 72


@define
class PeerBook:
    """Which gateways this one should follow.

    Seeds stay for ever, since they may come back; other addresses are forgotten
    when they haven't been reached for ``FORGET_SECONDS``.

    >>> from dotterelpitch.clock import ManualClock
    >>> book = PeerBook(ManualClock(), "10.0.0.1:1", ["10.0.0.1:1", "10.0.0.2:1"])
    >>> book.wanted()
    ['10.0.0.2:1']
    """

    _clock: Clock
    _own_address: str
    _seeds: Iterable[str] = field(converter=tuple)
    _reached_at_by_address: dict[str, float] = field(factory=dict)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the seeds."""
        self._seeds = tuple(seeds)

    def heard_of(self, addresses: Iterable[str]) -> None:
        """Take in addresses that a peer has reached lately."""
        now = self._clock.monotonic()
        for address in addresses:
            if address != self._own_address:
                self._reached_at_by_address.setdefault(address, now)

    def reached(self, address: str) -> None:
        """Note that a peer has just been heard."""
        if address != self._own_address:
            self._reached_at_by_address[address] = self._clock.monotonic()

    def wanted(self) -> list[str]:
        """Return the addresses to follow, and forget those long out of reach."""
        oldest = self._clock.monotonic() - FORGET_SECONDS
        for address, at in list(self._reached_at_by_address.items()):
            if at < oldest:
                del self._reached_at_by_address[address]
        wanted = dict.fromkeys([*self._seeds, *self._reached_at_by_address])
        wanted.pop(self._own_address, None)
        return list(wanted)[:MAX_FOLLOWED]

    def recent(self, seconds: float) -> list[str]:
        """Return the addresses that were reached in the last ``seconds``."""
        oldest = self._clock.monotonic() - seconds
        return [a for a, at in self._reached_at_by_address.items() if at >= oldest]
