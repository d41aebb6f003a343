"""Which gateways read the store: one a failure domain, and whoever hears none.

Every call to the store is paid for, and its rate is shared by the fleet. So one
relay in each failure domain watches it and the others learn of changes from
digests. A gateway that hears of nothing fresh reads for itself, whatever the
others say: a cut, a turned-away reader, or a hanging watch must not make it
blind.
"""

from collections.abc import Mapping

import xxhash
from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# A peer whose digest is older than this is no reader any more.
PEER_SECONDS = 1.5
# News of the store older than this are too old to rely on a peer for.
FRESH_SECONDS = 2.5


@frozen
class PeerNews:
    """What a peer's last digest said of the store, and when it came.

    ``store_age_s`` is how long before the digest the store had answered.
    """

    failure_domain: str
    is_relay: bool
    heard_at: float
    store_age_s: float


@define
class ReaderChoice:
    """Decides whether this gateway reads the store.

    >>> from dotterelpitch.clock import ManualClock
    >>> choice = ReaderChoice(ManualClock(10.0), "vm-1", "a")
    >>> choice.reads_store()
    True
    """

    _clock: Clock
    _vm: str
    _domain: str
    is_relay: bool = True
    _news_by_vm: dict[str, PeerNews] = field(factory=dict)

    def heard(
        self, vm: str, failure_domain: str, is_relay: bool, store_age_s: float
    ) -> None:
        """Take in what a peer says of its own reading."""
        now = self._clock.monotonic()
        self._news_by_vm[vm] = PeerNews(failure_domain, is_relay, now, store_age_s)

    def reads_store(self) -> bool:
        """Return whether this gateway should read the store now."""
        now = self._clock.monotonic()
        recent = {
            vm: news
            for vm, news in self._news_by_vm.items()
            if now - news.heard_at < PEER_SECONDS
        }
        self._news_by_vm = recent
        if not self._has_fresh_news(recent, now):
            return True
        if not self.is_relay:
            return False
        in_domain = [
            vm
            for vm, news in recent.items()
            if news.is_relay
            and news.failure_domain == self._domain
            and self._is_fresh(news, now)
        ]
        return all(_rank(self._vm) >= _rank(vm) for vm in in_domain)

    def _has_fresh_news(self, news_by_vm: Mapping[str, PeerNews], now: float) -> bool:
        return any(self._is_fresh(news, now) for news in news_by_vm.values())

    @staticmethod
    def _is_fresh(news: PeerNews, now: float) -> bool:
        return now - news.heard_at + news.store_age_s < FRESH_SECONDS


def _rank(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
