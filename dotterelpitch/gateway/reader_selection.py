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
REPORT_TTL_SECONDS = 1.5
# News of the store older than this are too old to rely on a peer for.
MAX_STORE_AGE_SECONDS = 2.5


@frozen
class PeerReport:
    """What a peer's last digest said of the store, and when it came.

    ``store_age_s`` is how long before the digest the store had answered.
    """

    failure_domain: str
    is_relay: bool
    received_at: float
    store_age_s: float


@define
class ReaderSelection:
    """Decides whether this gateway reads the store.

    >>> from dotterelpitch.clock import ManualClock
    >>> choice = ReaderSelection(ManualClock(10.0), "vm-1", "a")
    >>> choice.should_read_store()
    True
    """

    _clock: Clock
    _vm: str
    _domain: str
    is_relay: bool = True
    _report_by_vm: dict[str, PeerReport] = field(factory=dict)

    def record_report(
        self, vm: str, failure_domain: str, is_relay: bool, store_age_s: float
    ) -> None:
        """Take in what a peer says of its own reading."""
        now = self._clock.monotonic()
        self._report_by_vm[vm] = PeerReport(failure_domain, is_relay, now, store_age_s)

    def should_read_store(self) -> bool:
        """Return whether this gateway should read the store now."""
        now = self._clock.monotonic()
        recent = {
            vm: report
            for vm, report in self._report_by_vm.items()
            if now - report.received_at < REPORT_TTL_SECONDS
        }
        self._report_by_vm = recent
        if not self._has_fresh_report(recent, now):
            return True
        if not self.is_relay:
            return False
        in_domain = [
            vm
            for vm, report in recent.items()
            if report.is_relay
            and report.failure_domain == self._domain
            and self._is_fresh(report, now)
        ]
        return all(_hash_rank(self._vm) >= _hash_rank(vm) for vm in in_domain)

    def _has_fresh_report(
        self, report_by_vm: Mapping[str, PeerReport], now: float
    ) -> bool:
        return any(self._is_fresh(report, now) for report in report_by_vm.values())

    @staticmethod
    def _is_fresh(report: PeerReport, now: float) -> bool:
        return now - report.received_at + report.store_age_s < MAX_STORE_AGE_SECONDS


def _hash_rank(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
