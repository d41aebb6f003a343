"""Makes this gateway's digest and takes in those of its peers."""

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.peer_book import PeerBook
from dotterelpitch.gateway.reader_choice import ReaderChoice
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreAnswer, StoreRecord
from dotterelpitch.protocol.gateway_messages import (
    ClearedReport,
    CrashReport,
    EngineCount,
    FetchRecords,
    GatewayDigest,
    RecordBatch,
    StoredRecord,
)
from dotterelpitch.routing.crash_suspects import Cleared, Crash, CrashSuspects
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.retry_window import RetryWindow

# Peers reached within this time are named to others.
RECENT_SECONDS = 5.0
# Suspects older than this have spread long ago.
CRASH_NEWS_SECONDS = 20.0


class Digests:
    """Between what this process believes and what the peers say."""

    def __init__(
        self,
        vm: str,
        address: str,
        clock: Clock,
        state: GatewayState,
        book: PeerBook,
        loads: FleetLoads,
        retries: RetryWindow,
        suspects: CrashSuspects,
        readers: ReaderChoice,
        failure_domain: str,
    ) -> None:
        self._vm = vm
        self._readers = readers
        self._failure_domain = failure_domain
        self._address = address
        self._clock = clock
        self._state = state
        self._book = book
        self._loads = loads
        self._retries = retries
        self._suspects = suspects
        self._most_vms = 1

    def make(self) -> GatewayDigest:
        """Return what the peers should know now."""
        crashes, cleared = self._suspects.digest()
        config = self._state.config
        return GatewayDigest(
            vm=self._vm,
            failure_domain=self._failure_domain,
            address=self._address,
            config_version=config.version if config else 0,
            store_revision=self._state.revision,
            store_age_ms=int(min(self._state.age_s, 3600.0) * 1000),
            peers=self._book.recent(RECENT_SECONDS),
            counts=[EngineCount(e, n) for e, n in self._loads.own().items()],
            crashes=[
                CrashReport(c.fingerprint, c.engine, c.engine_run, self._age_ms(c.at))
                for c in crashes
                if self._is_news(c.at)
            ],
            cleared=[
                ClearedReport(c.fingerprint, self._age_ms(c.at))
                for c in cleared
                if self._is_news(c.at)
            ],
        )

    def take(self, digest: GatewayDigest) -> None:
        """Take in a peer's digest."""
        self._book.reached(digest.address)
        store_age_s = digest.store_age_ms / 1000
        self._readers.heard(digest.vm, digest.failure_domain, store_age_s)
        if digest.store_revision == self._state.revision:
            self._state.confirm(digest.store_revision, store_age_s)
        self._book.heard_of(digest.peers)
        self._loads.heard(digest.vm, {c.engine: c.count for c in digest.counts})
        self._suspects.merge(
            [
                Crash(c.fingerprint, c.engine, c.engine_run, self._instant(c.age_ms))
                for c in digest.crashes
            ],
            [Cleared(c.fingerprint, self._instant(c.age_ms)) for c in digest.cleared],
        )
        # A cut-off part of the fleet keeps the others' part of the budget free.
        self._most_vms = max(self._most_vms, self._loads.peers_heard() + 1)
        self._retries.set_vms(self._most_vms)

    def make_batch(self, request: FetchRecords) -> RecordBatch:
        """Return what a peer lacks, without the config unless it is newer."""
        held = self._state.record_by_key
        keys = self._state.change_log.keys_after(request.store_revision)
        is_full = keys is None
        if is_full:
            keys = list(held)
        config = self._state.config
        if config is not None and config.version > request.config_version:
            keys = [*(key for key in keys if key != CONFIG_KEY), CONFIG_KEY]
        else:
            keys = [key for key in keys if key != CONFIG_KEY]
        return RecordBatch(
            store_revision=self._state.revision,
            age_ms=int(min(self._state.age_s, 3600.0) * 1000),
            is_full=is_full,
            records=[StoredRecord(key, held[key]) for key in keys if key in held],
            deleted=[key for key in keys if key not in held],
        )

    def take_batch(self, batch: RecordBatch) -> None:
        """Take in a peer's records; engines count only when they are newer."""
        records = [StoreRecord(r.key, r.value) for r in batch.records]
        if batch.store_revision <= self._state.revision:
            self._state.take_configs(r for r in records if r.key == CONFIG_KEY)
            return
        records += [StoreRecord(key, None) for key in batch.deleted]
        answer = StoreAnswer(tuple(records), batch.store_revision)
        age_s = batch.age_ms / 1000
        if batch.is_full:
            self._state.take_list(answer, may_be_incomplete=False, age_s=age_s)
        else:
            self._state.take_changes(answer, age_s)

    def _is_news(self, at: float) -> bool:
        return self._clock.wall() - at < CRASH_NEWS_SECONDS

    def _age_ms(self, at: float) -> int:
        return int(max(0.0, self._clock.wall() - at) * 1000)

    def _instant(self, age_ms: int) -> float:
        return self._clock.wall() - age_ms / 1000
