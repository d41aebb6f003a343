"""Selects the gateways that read the store: one per failure domain.

Each call to the store is billed, and the rate limit is shared by the fleet. So one
relay in each failure domain watches the store, and the others receive changes from
peers. A gateway without a fresh report reads the store itself, whatever its peers
do, so that a partition, a reader whose calls are refused, or a hanging watch doesn't
leave it with old state.
"""

from collections.abc import Mapping
from enum import StrEnum

import xxhash
from attrs import define, field, frozen

from dotterelpitch.clock import Clock

# A peer's report expires after this time.
REPORT_TTL_SECONDS = 1.5
# A report counts as fresh while the store state behind it is younger than this.
MAX_STORE_AGE_SECONDS = 2.5


class ReadReason(StrEnum):
    """Why a gateway reads the store itself."""

    NO_STATE = "no state yet"
    NO_FRESH_REPORT = "no peer has reported a fresh state"
    SELECTED = "selected in its failure domain"


@frozen
class PeerReport:
    """What a peer's last digest reported about its view of the store.

    ``received_at`` is a time of the monotonic clock, in seconds. ``store_age_s`` is
    the time from the store's last response to the digest, in seconds.
    """

    failure_domain: str
    is_relay: bool
    received_at: float
    store_age_s: float


@define
class ReaderSelection:
    """Decides whether this gateway reads the store.

    ``is_relay`` is whether this gateway is a relay now; a member reads the store only
    while it has no fresh report.

    >>> from dotterelpitch.clock import ManualClock
    >>> selection = ReaderSelection(ManualClock(10.0), "vm-1", "a")
    >>> selection.should_read_store()
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
        """Record a peer's report; ``store_age_s`` is in seconds."""
        now = self._clock.monotonic()
        self._report_by_vm[vm] = PeerReport(failure_domain, is_relay, now, store_age_s)

    def should_read_store(self) -> bool:
        """Return whether this gateway should read the store now."""
        return self.reason_to_read() is not None

    def reason_to_read(self) -> ReadReason | None:
        """Return why this gateway should read the store now, or None."""
        now = self._clock.monotonic()
        recent = {
            vm: report
            for vm, report in self._report_by_vm.items()
            if now - report.received_at < REPORT_TTL_SECONDS
        }
        self._report_by_vm = recent
        if not self._has_fresh_report(recent, now):
            return ReadReason.NO_FRESH_REPORT
        if not self.is_relay:
            return None
        in_domain = [
            vm
            for vm, report in recent.items()
            if report.is_relay
            and report.failure_domain == self._domain
            and self._is_fresh(report, now)
        ]
        is_first = all(_hash_rank(self._vm) >= _hash_rank(vm) for vm in in_domain)
        return ReadReason.SELECTED if is_first else None

    def _has_fresh_report(
        self, report_by_vm: Mapping[str, PeerReport], now: float
    ) -> bool:
        return any(self._is_fresh(report, now) for report in report_by_vm.values())

    @staticmethod
    def _is_fresh(report: PeerReport, now: float) -> bool:
        return now - report.received_at + report.store_age_s < MAX_STORE_AGE_SECONDS


def _hash_rank(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
