"""Creates this gateway's digests and applies those of its peers."""

from collections.abc import Callable
from functools import partial
from typing import TypeVar

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.link_topology import LinkTopology, ReportScope
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.state import MAX_REPORTED_AGE_SECONDS, GatewayState
from dotterelpitch.protocol.gateway_messages import (
    EVACUATIONS_LINK_VERSION,
    READ_AGE_LINK_VERSION,
    STORE_ERA_LINK_VERSION,
    ClearanceReport,
    CrashReport,
    GatewayDigest,
    GatewayDigestOfEra,
    GatewayDigestOfReader,
)
from dotterelpitch.routing.crash_detector import is_run_of
from dotterelpitch.routing.crash_history import Clearance, Crash
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.store_position import StorePosition
from dotterelpitch.telemetry.events import Event, log_event

# An engine that crashed longer ago may be back.
MAX_REPORT_AGE_MS = 2000
# Reports on prompt parts have this before the part in place of a fingerprint, which is
# hexadecimal, so that gateways of an older version can read them.
PART_PREFIX = "part:"

_Report = TypeVar("_Report", CrashReport, ClearanceReport)


class DigestExchange:
    """Creates digests from this gateway's state and updates the state from peers'.

    A digest carries loads, crash reports, and the versions of config and store.
    """

    def __init__(
        self,
        clock: Clock,
        state: GatewayState,
        topology: LinkTopology,
        loads: FleetLoads,
        engine_tracker: EngineTracker,
        reader_selection: ReaderSelection,
    ) -> None:
        self._clock = clock
        self._state = state
        self._topology = topology
        self._loads = loads
        self._engine_tracker = engine_tracker
        self._suspects = engine_tracker.suspects
        self._part_suspects = engine_tracker.part_suspects
        self._reader_selection = reader_selection

    def make(self, link: Link) -> GatewayDigest:
        """Return the current digest for a peer; mark its crash reports as sent."""
        link.crash_reports_sent, crashes, cleared = self._suspects.updates_after(
            link.crash_reports_sent
        )
        link.part_reports_sent, part_crashes, sound_parts = (
            self._part_suspects.updates_after(link.part_reports_sent)
        )
        config = self._state.config
        return self._digest_type(link.peer.link_version)(
            relay=self._topology.relay,
            config_version=config.version if config else 0,
            store_revision=self._state.revision,
            store_age_ms=self._state.age_ms,
            count_by_engine=self._loads_for(link),
            crashes=[
                *(self._crash_report(c.suspect, c) for c in crashes),
                *(self._crash_report(PART_PREFIX + c.suspect, c) for c in part_crashes),
            ],
            cleared=[
                *(ClearanceReport(c.suspect, self._age_ms(c.at)) for c in cleared),
                *(
                    ClearanceReport(PART_PREFIX + c.suspect, self._age_ms(c.at))
                    for c in sound_parts
                ),
            ],
        )

    def _digest_type(self, link_version: int) -> Callable[..., GatewayDigest]:
        """Return what makes the digests that a peer understands."""
        era = self._state.position.era
        if link_version >= READ_AGE_LINK_VERSION:
            age_s = self._reader_selection.own_read_age_s
            read_age_ms = int(min(age_s, MAX_REPORTED_AGE_SECONDS) * 1000)
            return partial(
                GatewayDigestOfReader, store_era=era, read_age_ms=read_age_ms
            )
        if link_version >= STORE_ERA_LINK_VERSION:
            return partial(GatewayDigestOfEra, store_era=era)
        return GatewayDigest

    def apply(self, link: Link, digest: GatewayDigest) -> None:
        """Apply a peer's digest."""
        link.relay = digest.relay
        peer = link.peer
        store_age_s = digest.store_age_ms / 1000
        read_age_s = store_age_s
        if digest.read_age_ms is not None:
            read_age_s = digest.read_age_ms / 1000
        position = StorePosition(digest.store_era, digest.store_revision)
        passes_on_evacuations = peer.link_version >= EVACUATIONS_LINK_VERSION
        if passes_on_evacuations and position.era >= self._state.position.era:
            self._reader_selection.record_report(
                peer.name,
                peer.failure_domain,
                link.peer_is_relay,
                store_age_s,
                read_age_s,
            )
        if position == self._state.position:
            is_own_relay = peer.name == self._topology.relay
            self._state.confirm(position, store_age_s if is_own_relay else read_age_s)
        if self._topology.accepts_reports_from(link):
            self._loads.update_source(peer.name, digest.count_by_engine)
        else:
            self._loads.remove_source(peer.name)
        self._engine_tracker.domain_reachability.heard_from(peer.failure_domain)
        self._apply_crashes(peer.name, digest)

    def _apply_crashes(self, peer: str, digest: GatewayDigest) -> None:
        crashes, part_crashes = _split(digest.crashes)
        cleared, sound_parts = _split(digest.cleared)
        self._log_crashes(peer, crashes)
        self._suspects.merge(
            [self._crash(c.fingerprint, c) for c in crashes],
            [self._clearance(c.fingerprint, c) for c in cleared],
        )
        self._part_suspects.merge(
            [self._crash(_part(c), c) for c in part_crashes],
            [self._clearance(_part(c), c) for c in sound_parts],
        )
        for crash in crashes:
            self._apply_engine_end(crash)

    def _apply_engine_end(self, crash: CrashReport) -> None:
        """Make the engine of a new crash suspect, unless it has restarted since."""
        engine = self._state.directory.engine_by_id.get(crash.engine)
        if engine is None or crash.age_ms > MAX_REPORT_AGE_MS:
            return
        if not is_run_of(crash.engine_run, engine) or self._is_dismissed(crash):
            return
        crashed_at = self._clock.monotonic() - crash.age_ms / 1000
        self._engine_tracker.record_peer_report(engine, crashed_at)

    def _is_dismissed(self, crash: CrashReport) -> bool:
        """Return whether the run of a reported crash was only silent and goes on."""
        run_key = crash.engine, crash.engine_run
        return crash.is_silence and run_key in self._suspects.dismissed_runs

    @staticmethod
    def _log_crashes(peer: str, crashes: list[CrashReport]) -> None:
        if crashes:
            log_event(
                Event.CRASHES_REPORTED,
                peer=peer,
                engines=sorted({crash.engine for crash in crashes}),
                fingerprints=sorted({crash.fingerprint for crash in crashes}),
            )

    def _loads_for(self, link: Link) -> dict[str, int]:
        """Return the request counts by engine that a peer gets only on this link."""
        scope = self._topology.scope(link)
        if scope is ReportScope.ALL_BUT_PEERS:
            return self._loads.counts_without(link.peer.name)
        if scope is ReportScope.OWN_AND_MEMBERS:
            return self._loads.counts_with(self._topology.members())
        return self._loads.own_counts() if scope is ReportScope.OWN else {}

    def _crash_report(self, name: str, crash: Crash) -> CrashReport:
        return CrashReport(
            name,
            crash.engine,
            crash.engine_run,
            self._age_ms(crash.at),
            crash.was_running,
            crash.is_silence,
        )

    def _crash(self, suspect: str, report: CrashReport) -> Crash:
        return Crash(
            suspect,
            report.engine,
            report.engine_run,
            self._wall_time(report.age_ms),
            report.was_running,
            report.is_silence,
        )

    def _clearance(self, suspect: str, report: ClearanceReport) -> Clearance:
        return Clearance(suspect, self._wall_time(report.age_ms))

    def _age_ms(self, at: float) -> int:
        return int(max(0.0, self._clock.wall() - at) * 1000)

    def _wall_time(self, age_ms: int) -> float:
        return self._clock.wall() - age_ms / 1000


def _split(reports: list[_Report]) -> tuple[list[_Report], list[_Report]]:
    """Return the reports on contents, and those on prompt parts."""
    contents = [r for r in reports if not r.fingerprint.startswith(PART_PREFIX)]
    parts = [r for r in reports if r.fingerprint.startswith(PART_PREFIX)]
    return contents, parts


def _part(report: CrashReport | ClearanceReport) -> str:
    return report.fingerprint.removeprefix(PART_PREFIX)
