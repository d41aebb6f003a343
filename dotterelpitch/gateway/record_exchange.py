"""Exchanges store records with peers, so that few gateways read the store."""

import zlib
from collections.abc import Callable
from functools import partial

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PeerError, ProtocolError
from dotterelpitch.gateway.link import Link
from dotterelpitch.gateway.reader_selection import ReaderSelection
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.platform.config_record import CONFIG_KEY
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.protocol.gateway_messages import (
    EVACUATIONS_LINK_VERSION,
    LINK_VERSION,
    STORE_ERA_LINK_VERSION,
    FetchRecords,
    FetchRecordsOfEra,
    GatewayDigest,
    RecordBatch,
    RecordBatchOfEra,
    StoredRecord,
)
from dotterelpitch.protocol.stream import Stream
from dotterelpitch.store_position import StorePosition
from dotterelpitch.telemetry.events import Event, log_event

# A store reader normally receives a change from the store within this time; it fetches
# the change from a peer only if it takes longer.
FETCH_DELAY_SECONDS = 0.4
# A gateway that fell behind longer ago than this has caught up since, so the delay
# starts again.
BEHIND_RESET_SECONDS = 2.0
# A store that hasn't confirmed the state for so long is away.
STORE_AWAY_SECONDS = 3.0
# A large config takes about a second on a slow link that also serves callers.
FETCH_TIMEOUT_SECONDS = 2.5
# Fetches from different peers at one time.
MAX_FETCHES = 2
# The fastest level; it already makes a config several times smaller.
COMPRESSION_LEVEL = 1
# As the revision up to which records are known, it asks for all.
ALL_RECORDS = -1
# Limit on the decompressed size; no record of the store is larger.
MAX_RECORD_BYTES = 8 * 1024 * 1024


class RecordExchange:
    """Answers peers' requests for records and fetches newer records from peers."""

    def __init__(
        self, clock: Clock, state: GatewayState, reader_selection: ReaderSelection
    ) -> None:
        self._clock = clock
        self._state = state
        self._reader_selection = reader_selection
        self._compressed_config: tuple[bytes, bytes] = (b"", b"")
        self._behind_since: float | None = None
        self._fetch_began_by_vm: dict[str, float] = {}

    def should_fetch(
        self, digest: GatewayDigest, link_version: int = LINK_VERSION, vm: str = ""
    ) -> bool:
        """Return whether to fetch records from ``vm``, which has sent a digest, now.

        Gateways of an earlier ``link_version`` don't pass evacuations on, so they are
        asked only while the store is away.
        """
        if not self._may_begin_fetch(vm):
            return False
        config = self._state.config
        version = config.version if config else 0
        passes_on_evacuations = link_version >= EVACUATIONS_LINK_VERSION
        if self._state.lacks_evacuations and passes_on_evacuations:
            return True
        position = StorePosition(digest.store_era, digest.store_revision)
        is_newer = digest.config_version > version or position > self._state.position
        if not is_newer:
            return False
        is_store_away = config is None or self._state.age_s > STORE_AWAY_SECONDS
        if not passes_on_evacuations and not is_store_away:
            return False
        selection = self._reader_selection
        if config is None or not selection.should_read_store():
            return True
        if selection.is_own_read_late():
            return True
        now = self._clock.monotonic()
        if (
            self._behind_since is None
            or now - self._behind_since > BEHIND_RESET_SECONDS
        ):
            self._behind_since = now
        return now - self._behind_since > FETCH_DELAY_SECONDS

    async def fetch(self, link: Link) -> None:
        """Fetch newer records from a peer; failures are logged, not raised."""
        vm = link.peer.name
        self._fetch_began_by_vm[vm] = self._clock.monotonic()
        try:
            await self._fetch(link)
        except (PeerError, ProtocolError, TimeoutError) as error:
            log_event(Event.FETCH_FAILED, vm=vm, reason=repr(error))
        finally:
            del self._fetch_began_by_vm[vm]
            self._behind_since = None

    def _may_begin_fetch(self, vm: str) -> bool:
        """Return whether no other fetch is under way that may still be answered soon.

        A peer may fall silent after its digest, so another one is asked as well.
        """
        began_by_vm = self._fetch_began_by_vm
        if vm in began_by_vm or len(began_by_vm) >= MAX_FETCHES:
            return False
        last_began = max(began_by_vm.values(), default=float("-inf"))
        hedge_s = self._reader_selection.timing.fetch_hedge_s
        return self._clock.monotonic() - last_began >= hedge_s

    async def answer(self, stream: Stream, request: FetchRecords) -> None:
        """Send a peer the records that it lacks."""
        await stream.send(self.make_batch(request))

    def make_batch(self, request: FetchRecords) -> RecordBatch:
        """Return the records that a peer lacks; the config only if it is newer.

        The changes after a revision of another era aren't known.
        """
        held = self._state.record_by_key
        missing = self._state.missing_keys()
        left_out = missing | self._state.held_evacuation_keys()
        era = self._state.position.era
        keys = None
        if request.store_era == era:
            keys = self._state.change_log.keys_after(request.store_revision)
        is_full = keys is None
        if is_full:
            keys = [key for key in held if key not in left_out]
        config = self._state.config
        keys = [key for key in keys if key != CONFIG_KEY]
        if config is not None and config.version > request.config_version:
            keys.append(CONFIG_KEY)
        make: Callable[..., RecordBatch] = RecordBatch
        if isinstance(request, FetchRecordsOfEra):
            make = partial(RecordBatchOfEra, store_era=era)
        return make(
            store_revision=self._state.revision,
            age_ms=self._state.age_ms,
            is_full=is_full,
            may_be_incomplete=is_full and bool(missing),
            records=[
                StoredRecord(key, self._compress(key, held[key]))
                for key in keys
                if key in held
            ],
            deleted=[key for key in keys if key not in held],
        )

    def apply_batch(self, batch: RecordBatch, link_version: int = LINK_VERSION) -> None:
        """Apply a peer's records; engines only if the batch is newer than the state.

        One of an earlier ``link_version`` says nothing of evacuations.
        """
        records = [StoreRecord(r.key, _decompress(r)) for r in batch.records]
        position = StorePosition(batch.store_era, batch.store_revision)
        has_evacuations = link_version >= EVACUATIONS_LINK_VERSION
        completes = self._state.lacks_evacuations and has_evacuations and batch.is_full
        is_news = position > self._state.position
        if not is_news and not (completes and position == self._state.position):
            self._state.apply_configs(records)
            return
        records += [StoreRecord(key, None) for key in batch.deleted]
        response = StoreResponse(tuple(records), position.revision, position.era)
        age_s = batch.age_ms / 1000
        if batch.is_full:
            self._state.apply_list(
                response, batch.may_be_incomplete, age_s, has_evacuations
            )
        else:
            self._state.apply_changes(response, age_s, has_evacuations)

    async def _fetch(self, link: Link) -> None:
        config = self._state.config
        version = config.version if config else 0
        before = self._state.revision
        known = ALL_RECORDS if self._state.lacks_evacuations else before
        request = FetchRecords(version, known)
        if link.peer.link_version >= STORE_ERA_LINK_VERSION:
            era = self._state.position.era
            request = FetchRecordsOfEra(version, known, era)
        batch = await link.stream.connection.call(request, FETCH_TIMEOUT_SECONDS)
        if not isinstance(batch, RecordBatch):
            raise ProtocolError(f"expected RecordBatch, got {type(batch).__name__}")
        self.apply_batch(batch, link.peer.link_version)
        log_event(
            Event.RECORDS_FROM_PEER,
            vm=link.peer.name,
            revision=batch.store_revision,
            before=before,
            age_ms=batch.age_ms,
        )

    def _compress(self, key: str, value: bytes) -> bytes:
        """Return the compressed value; the result for the config is cached."""
        if key != CONFIG_KEY:
            return zlib.compress(value, COMPRESSION_LEVEL)
        if self._compressed_config[0] is not value:
            self._compressed_config = (value, zlib.compress(value, COMPRESSION_LEVEL))
        return self._compressed_config[1]


def _decompress(record: StoredRecord) -> bytes:
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(record.compressed_value, MAX_RECORD_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"record {record.key}: {error}") from error
    if not decompressor.eof:
        raise ProtocolError(f"record {record.key}: truncated or above the size limit")
    return value
