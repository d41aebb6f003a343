"""The state that a gateway builds from the store: config and engine directory."""

import asyncio
from collections.abc import Sequence

from dotterelpitch.clock import Clock
from dotterelpitch.errors import PlatformError
from dotterelpitch.gateway.change_log import ChangeLog
from dotterelpitch.gateway.engine_removals import EngineRemovals
from dotterelpitch.platform.config_record import CONFIG_KEY, ConfigDecoder
from dotterelpitch.platform.engine_record import ENGINE_PREFIX, decode_engine
from dotterelpitch.platform.evacuation_record import (
    EVACUATION_PREFIX,
    decode_evacuated_domain,
)
from dotterelpitch.platform.store import StoreRecord, StoreResponse
from dotterelpitch.routing.cold_engines import ColdEngines, ColdLimits
from dotterelpitch.routing.continuity import Continuity
from dotterelpitch.routing.engines import Engine, EngineDirectory, EngineRun
from dotterelpitch.routing.evacuations import Evacuations
from dotterelpitch.routing.leaving_engines import LeavingEngines
from dotterelpitch.routing.route_table import DEFAULT_HEALTH_PATH, RoutingConfig
from dotterelpitch.store_position import StorePosition
from dotterelpitch.telemetry.events import Event, log_event

# Age reported to peers by a process that has never reached the store.
MAX_REPORTED_AGE_SECONDS = 3600.0


class GatewayState:
    """The config and the engines, built from records of the store or of a peer.

    What engines have said of their leaving, to a caller or in a record, goes before
    their later records.

    A config is replaced only by one with a higher version. An invalid config record
    leaves the current config in force; an invalid engine record removes the engine.

    ``evacuations`` are the failure domains whose engines get no requests, and
    ``cold_engines`` the engines that bear few.
    ``lacks_evacuations`` is whether records have come from a peer that passes none on.

    ``continuity`` tells when it was confirmed, and whether a gap may have outdated it.

    ``position`` is where in the store's history all changes are applied.
    ``changed`` is set, and replaced by a new event, on each new revision, list, or
    config, and by ``notify_peers``;
    ``has_config`` is set with the first config.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.directory = EngineDirectory(clock)
        self.leaving_engines = LeavingEngines(clock)
        self.directory.is_known_to_leave = self.leaving_engines.__contains__
        self.cold_engines = ColdEngines(clock, self._cold_limits)
        self.evacuations = Evacuations(clock, self._evacuate)
        self.lacks_evacuations = False
        self._config_decoder = ConfigDecoder()
        self.config: RoutingConfig | None = None
        self.has_config = asyncio.Event()
        self.record_by_key: dict[str, bytes] = {}
        self.change_log = ChangeLog()
        self.changed = asyncio.Event()
        self.position = StorePosition()
        self._removals = EngineRemovals(clock)
        self.continuity = Continuity(clock)

    @property
    def revision(self) -> int:
        """The store revision, of the present era, up to which changes are applied."""
        return self.position.revision

    @property
    def age_s(self) -> float:
        """Seconds since the store last confirmed this state, here or at a peer."""
        return self.clock.monotonic() - self.continuity.confirmed_at

    @property
    def age_ms(self) -> int:
        """The age to report to peers, in milliseconds, with an upper bound."""
        return int(min(self.age_s, MAX_REPORTED_AGE_SECONDS) * 1000)

    def apply_list(
        self,
        response: StoreResponse,
        may_be_incomplete: bool,
        age_s: float = 0.0,
        has_evacuations: bool = True,
    ) -> None:
        """Apply a full list of records that was current ``age_s`` seconds ago.

        Only a newer config is used from a list older than ``position``: its engines
        would revert later changes. With ``may_be_incomplete``, or when the store has
        been restored, engines that the list lacks are kept for a while. Without
        ``has_evacuations`` the list says nothing of evacuations.
        """
        if response.position < self.position:
            self._skip_older(response)
            return
        self.apply_configs(response.records)
        is_restored = self._is_restored(response)
        # Engines that an earlier list lacked still have time to register again.
        may_be_incomplete |= is_restored or bool(self.directory.missing_ids())
        engines = self._listed_engines(response.records, is_restored)
        self.lacks_evacuations = not has_evacuations
        if has_evacuations:
            self._list_evacuations(response.records, is_restored)
        before_by_id = dict(self.directory.engine_by_id)
        known = set(before_by_id)
        self.directory.replace_all(engines, may_be_incomplete, age_s)
        if known:
            self._log_listed(before_by_id, response.revision)
        else:
            self.directory.mark_settled()
        for engine_id in known - {engine.id for engine in engines}:
            action = "kept-for-now" if may_be_incomplete else "removed"
            if not may_be_incomplete:
                self._forget_record(before_by_id[engine_id])
            log_event(Event.ENGINE_MISSING, engine=engine_id, action=action)
        self.change_log.restart(response.revision)
        self.confirm(response.position, age_s)
        self.notify_peers()

    def _is_restored(self, response: StoreResponse) -> bool:
        """Return whether the store was restored from a copy since the last response."""
        is_restored = bool(self.revision) and response.era > self.position.era
        if is_restored:
            log_event(
                Event.STORE_RESTORED,
                era=response.era,
                revision=response.revision,
                before=self.revision,
            )
        return is_restored

    def _listed_engines(
        self, records: Sequence[StoreRecord], is_restored: bool
    ) -> list[Engine]:
        """Return the engines of a list, without records that the store has lost again.

        After a restore an engine that had been removed is listed until its record
        expires; one that lives writes it anew.
        """
        engines = []
        for record in records:
            if not record.key.startswith(ENGINE_PREFIX):
                continue
            engine = self._decode_engine(record)
            if engine is None:
                continue
            if is_restored:
                self._removals.hold_if_removed(engine.run, record)
            if self._removals.is_held(record):
                self.record_by_key.pop(record.key, None)
                continue
            engines.append(engine)
        return engines

    def missing_keys(self) -> set[str]:
        """Return the keys of engines kept although the last list lacked them."""
        return {ENGINE_PREFIX + i for i in self.directory.missing_ids()}

    def held_evacuation_keys(self) -> set[str]:
        """Return the keys of evacuations held although the last list lacked them."""
        return {EVACUATION_PREFIX + domain for domain in self.evacuations.held()}

    def apply_configs(self, records: Sequence[StoreRecord]) -> None:
        """Apply the last valid config among ``records`` and ignore all else.

        Earlier configs are superseded and not decoded, since each is large.
        """
        configs = [record for record in records if record.key == CONFIG_KEY]
        for record in reversed(configs):
            if self._apply_config(record):
                return

    def apply_changes(
        self,
        response: StoreResponse,
        age_s: float = 0.0,
        has_evacuations: bool = True,
    ) -> None:
        """Apply the changes of one watch that was current ``age_s`` seconds ago.

        Only a newer config is used from changes older than ``position``. Without
        ``has_evacuations`` they say nothing of evacuations.
        """
        if response.position < self.position:
            self._skip_older(response)
            return
        self.apply_configs(response.records)
        newest_by_key = {record.key: record for record in response.records}
        for record in newest_by_key.values():
            if record.key.startswith(ENGINE_PREFIX):
                self._apply_engine(record, response.revision)
            elif has_evacuations and record.key.startswith(EVACUATION_PREFIX):
                self._apply_evacuation(record)
        self.lacks_evacuations |= not has_evacuations
        keys = list(newest_by_key)
        self.change_log.add(response.revision, keys)
        self.confirm(response.position, age_s)

    def _skip_older(self, response: StoreResponse) -> None:
        self.apply_configs(response.records)
        log_event(
            Event.RECORDS_OLDER_IGNORED, offered=response.revision, held=self.revision
        )

    def record_leaving(
        self, run: EngineRun, peer: str = "", by_registry: bool = False
    ) -> None:
        """Record that an engine has said that it leaves, here or to ``peer``.

        ``by_registry`` is whether it has said so in its record.
        """
        if self.leaving_engines.record(run, peer, by_registry):
            self.directory.update(run.engine_id)
            self.notify_peers()

    def engines_in_doubt(self) -> list[Engine]:
        """Return the engines that must be asked whether they leave."""
        engine_by_run = {e.run: e for e in self.directory.engine_by_id.values()}
        runs = self.leaving_engines.in_doubt(engine_by_run)
        return [engine_by_run[run] for run in runs]

    def record_stays(self, run: EngineRun) -> None:
        """Record that an engine that was in doubt doesn't say that it leaves."""
        self.leaving_engines.clear(run)
        self.directory.update(run.engine_id)

    def health_path(self, engine: Engine) -> str:
        """Return the path at which the engines of a service are asked for health."""
        service = (
            self.config.service_by_name.get(engine.service) if self.config else None
        )
        return service.health_path if service else DEFAULT_HEALTH_PATH

    def _cold_limits(self, service_name: str) -> ColdLimits:
        """Return what the engines of a service bear when cold."""
        config = self.config
        service = config.service_by_name.get(service_name) if config else None
        return service.cold if service else ColdLimits()

    def _evacuate(self, domains: frozenset[str]) -> None:
        """Apply the evacuated failure domains; one that is back may be cold."""
        ended = self.directory.evacuated_domains - domains
        self.directory.evacuate(domains)
        engines = self.directory.engine_by_id.values()
        returned = [e for e in engines if e.failure_domain in ended]
        self.cold_engines.assume_cold(returned, "its failure domain is back")

    def _record_cold(self, engine: Engine) -> None:
        """Record what a record says of its engine, or leaves open, of being cold."""
        if engine.cold_left_s is not None:
            self.cold_engines.record_left(engine, engine.cold_left_s)
            return
        known = self.directory.engine_by_id.get(engine.id)
        is_first_list = not self.directory.engine_by_id
        if not is_first_list and (known is None or known.run != engine.run):
            self.cold_engines.assume_cold([engine], "it has just been listed")

    def next_expiry_at(self) -> float:
        """Return the monotonic time at which ``expire`` must be called next."""
        return min(self.directory.next_expiry_at(), self.evacuations.next_expiry_at())

    def expire(self) -> None:
        """Remove the engines that have not re-registered after a store outage.

        Evacuations that were only held are ended. What engines that are gone have said
        of their leaving is forgotten.
        """
        for domain in self.evacuations.expire():
            self.record_by_key.pop(EVACUATION_PREFIX + domain, None)
        self.leaving_engines.retain(e.run for e in self.directory.engine_by_id.values())
        before_by_id = dict(self.directory.engine_by_id)
        for engine_id, missing_s in self.directory.expire().items():
            self._forget_record(before_by_id[engine_id])
            log_event(
                Event.ENGINE_MISSING,
                engine=engine_id,
                action="removed",
                missing_ms=int(missing_s * 1000),
            )

    def confirm(self, position: StorePosition, age_s: float = 0.0) -> None:
        """Record that the state of ``position`` was current ``age_s`` seconds ago."""
        self.continuity.record_confirmed(age_s)
        if position > self.position:
            self.position = position
            self.notify_peers()

    def notify_peers(self) -> None:
        """Let the peers be told at once of what they lack."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _apply_config(self, record: StoreRecord) -> bool:
        """Apply a config if it is newer; return whether the record is valid."""
        if record.value is None:
            return False
        try:
            config = self._config_decoder.decode(record.value)
        except PlatformError as error:
            log_event(Event.CONFIG_REFUSED, reason=str(error))
            return False
        old = self.config.version if self.config else 0
        if config.version <= old:
            if config.version < old:
                log_event(Event.CONFIG_OLDER_IGNORED, offered=config.version, held=old)
            return True
        self.config = config
        self.record_by_key[CONFIG_KEY] = record.value
        self.has_config.set()
        self.notify_peers()
        log_event(
            Event.CONFIG_IN_FORCE,
            version=config.version,
            before=old,
            routes=len(config.routes),
            keys=len(config.account_by_key),
        )
        return True

    def _log_listed(self, before_by_id: dict[str, Engine], revision: int) -> None:
        """Log the engines that have registered or changed."""
        for engine_id, engine in self.directory.engine_by_id.items():
            before = before_by_id.get(engine_id)
            if before != engine:
                _log_engine(engine, before, revision)

    def _list_evacuations(
        self, records: Sequence[StoreRecord], is_restored: bool
    ) -> None:
        """Apply the evacuations of a full list."""
        listed = {}
        for record in records:
            if record.key.startswith(EVACUATION_PREFIX):
                domain = self._decode_evacuation(record)
                if domain:
                    listed[domain] = record
        before = self.evacuations.domains
        self.evacuations.replace_all(listed, is_restored)
        for domain in before - self.evacuations.domains:
            self.record_by_key.pop(EVACUATION_PREFIX + domain, None)
        for record in listed.values():
            self.record_by_key[record.key] = record.value

    def _apply_evacuation(self, record: StoreRecord) -> None:
        """Apply the begin or the end of an evacuation."""
        domain = self._decode_evacuation(record)
        if not domain:
            return
        if record.value is None:
            self.record_by_key.pop(record.key, None)
            self.evacuations.end(domain)
        else:
            self.record_by_key[record.key] = record.value
            self.evacuations.begin(domain)

    @staticmethod
    def _decode_evacuation(record: StoreRecord) -> str:
        """Return the failure domain that a record names, or an empty string."""
        try:
            return decode_evacuated_domain(record.key)
        except PlatformError as error:
            log_event(Event.EVACUATION_REFUSED, reason=str(error))
            return ""

    def _apply_engine(self, record: StoreRecord, revision: int) -> None:
        if record.value is None:
            self._remove_engine(record.key, "entry deleted")
            return
        engine = self._decode_engine(record)
        if engine is None:
            self._remove_engine(record.key, "entry unreadable")
            return
        self._removals.release(record.key)
        before = self.directory.engine_by_id.get(engine.id)
        self.directory.put(engine)
        after = self.directory.engine_by_id[engine.id]
        if before != after:
            _log_engine(after, before, revision)

    def _decode_engine(self, record: StoreRecord) -> Engine | None:
        try:
            engine = decode_engine(record.key, record.value or b"")
        except PlatformError as error:
            log_event(Event.ENGINE_ENTRY_REFUSED, key=record.key, reason=str(error))
            return None
        self.record_by_key[record.key] = record.value
        if engine.is_leaving:
            self.record_leaving(engine.run, by_registry=True)
        self._record_cold(engine)
        return engine

    def _forget_record(self, engine: Engine) -> None:
        """Forget the record of an engine that has been removed."""
        self.record_by_key.pop(ENGINE_PREFIX + engine.id, None)
        self._removals.record(engine.run)

    def _remove_engine(self, key: str, reason: str) -> None:
        self.record_by_key.pop(key, None)
        self._removals.release(key)
        engine_id = key.removeprefix(ENGINE_PREFIX)
        engine = self.directory.engine_by_id.get(engine_id)
        if engine is not None:
            self._removals.record(engine.run)
            self.directory.remove(engine_id)
            log_event(Event.ENGINE_MISSING, engine=engine_id, action=reason)


def _log_engine(engine: Engine, before: Engine | None, revision: int) -> None:
    log_event(
        Event.ENGINE_LISTED,
        engine=engine.id,
        started_ms=engine.started_ms,
        revision=revision,
        service=engine.service,
        address=engine.address,
        leaving=engine.is_leaving,
        restarted=before is not None and before.started_ms != engine.started_ms,
    )
