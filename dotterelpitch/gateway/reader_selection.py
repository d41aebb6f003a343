"""Selects the gateways that read the store: one per failure domain.

Each call to the store is billed, and the rate limit is shared by the fleet. So one
relay in each failure domain watches the store, and the others receive changes from
peers. A gateway without a fresh report reads the store itself, whatever its peers
do, so that a partition, a reader whose calls are refused, or a hanging watch doesn't
leave it with old state.

Only a peer's own reads count, and for a member those that its relay has heard of. A
peer that can't read the store has fresh state too, as long as others tell it; if that
counted, such a peer would keep the others from reading, and gateways that hear only of
one another would take their state for fresh.
"""

from enum import StrEnum

import xxhash
from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.store_timing import StoreTiming

# A peer's report expires after this time.
REPORT_TTL_SECONDS = 1.5
# The usual times, for a bound of 2 s.
DEFAULT_TIMING = StoreTiming.for_bound(2.0, max_watch_s=1.5, max_digest_s=0.25)


class ReadReason(StrEnum):
    """Why a gateway reads the store itself."""

    NO_STATE = "no state yet"
    NO_FRESH_REPORT = "no peer has reported a fresh state"
    SELECTED = "selected in its failure domain"


@frozen
class PeerReport:
    """What a peer's last digest reported about its view of the store.

    ``received_at`` is a time of the monotonic clock, in seconds. ``store_age_s`` is
    the time from the store's last response, to anybody, to the digest, in seconds, and
    ``read_age_s`` that from its last response to the peer; infinite while it doesn't
    read or can't.
    """

    failure_domain: str
    is_relay: bool
    received_at: float
    store_age_s: float
    read_age_s: float


@define
class ReaderSelection:
    """Decides whether this gateway reads the store.

    ``is_relay`` is whether this gateway is a relay now; a member reads the store only
    while it has no fresh report. ``timing`` says until when a report is fresh.

    >>> from dotterelpitch.clock import ManualClock
    >>> selection = ReaderSelection(ManualClock(10.0), "vm-1", "a")
    >>> selection.should_read_store()
    True
    """

    _clock: Clock
    _vm: str
    _domain: str
    is_relay: bool = True
    timing: StoreTiming = DEFAULT_TIMING
    _report_by_vm: dict[str, PeerReport] = field(factory=dict)
    _read_at: float = float("-inf")

    def record_report(
        self,
        vm: str,
        failure_domain: str,
        is_relay: bool,
        store_age_s: float,
        read_age_s: float | None = None,
    ) -> None:
        """Record a peer's report; ages are in seconds.

        Peers of an earlier version don't tell ``read_age_s``; they are taken to read.
        """
        self._report_by_vm[vm] = PeerReport(
            failure_domain,
            is_relay,
            self._clock.monotonic(),
            store_age_s,
            store_age_s if read_age_s is None else read_age_s,
        )

    def record_own_read(self) -> None:
        """Record that the store has responded to this gateway."""
        self._read_at = self._clock.monotonic()

    def record_no_own_read(self) -> bool:
        """Record that this gateway doesn't read the store, or that a read has failed.

        Return whether peers may rely on it to read.
        """
        has_read = self._read_at > float("-inf")
        self._read_at = float("-inf")
        return has_read

    @property
    def own_read_age_s(self) -> float:
        """Seconds since the store's last response to this gateway, or infinity."""
        return self._clock.monotonic() - self._read_at

    def is_own_read_late(self) -> bool:
        """Return whether a reader in this gateway's place should have heard more."""
        return self.own_read_age_s >= self.timing.relay_trust_s

    def should_read_store(self) -> bool:
        """Return whether this gateway should read the store now."""
        return self.reason_to_read() is not None

    def reason_to_read(self) -> ReadReason | None:
        """Return why this gateway should read the store now, or None."""
        self._drop_expired()
        if not self._has_fresh_report():
            return ReadReason.NO_FRESH_REPORT
        if self.is_relay and self._is_first_in_domain():
            return ReadReason.SELECTED
        return None

    def _drop_expired(self) -> None:
        now = self._clock.monotonic()
        self._report_by_vm = {
            vm: report
            for vm, report in self._report_by_vm.items()
            if now - report.received_at < REPORT_TTL_SECONDS
        }

    def _has_fresh_report(self) -> bool:
        reports = self._report_by_vm.values()
        if self.is_relay:
            return any(map(self._reads_freshly, reports))
        return any(
            self._age(r, r.store_age_s) < self.timing.member_trust_s for r in reports
        )

    def _is_first_in_domain(self) -> bool:
        """Return whether no relay that reads goes before this one in its domain."""
        own_rank = _hash_rank(self._vm)
        return all(
            own_rank >= _hash_rank(vm)
            for vm, report in self._report_by_vm.items()
            if report.is_relay
            and report.failure_domain == self._domain
            and self._reads_freshly(report)
        )

    def _reads_freshly(self, report: PeerReport) -> bool:
        return self._age(report, report.read_age_s) < self.timing.relay_trust_s

    def _age(self, report: PeerReport, reported_s: float) -> float:
        return self._clock.monotonic() - report.received_at + reported_s


def _hash_rank(vm: str) -> int:
    return xxhash.xxh3_64_intdigest(vm.encode())
