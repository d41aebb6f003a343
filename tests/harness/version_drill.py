"""Plays engines of several software versions, whose streams break in the middle."""

import asyncio
import time
from pathlib import Path

import aiohttp
import attrs

from tests.harness.crash_drill.drill import (
    CallRecord,
    CrashDrill,
    DrillResult,
    DrillSettings,
)
from tests.harness.crash_drill.engine import CrashableEngine, response_head
from tests.harness.gateway_fleet import CHAT_ROUTES, HOST, KEY, GatewayProcess
from tests.harness.ports import free_address
from tests.harness.scripted_engine import reset_connection
from tests.harness.waiting import pause

EVENTS = 24
EVENT_SECONDS = 0.05
# At most so many streams may hold events of two versions (the platform's rule).
MAX_MIXED = 2
# Of the streams that are taken up again this share of the share of new streams that
# begin must go on.
MIN_RESUMED_FACTOR = 0.5
MAX_TRIES = 4
SHARED_PARTS = 12


@attrs.frozen
class VersionDrillSettings(DrillSettings):
    """One setting of a drill with engines of several versions.

    ``versions`` are those of the engines, in turn. The engines break ``broken_share``
    of the streams off inside an event, and callers themselves leave ``left_share`` of
    theirs. If ``replaces`` is set, an engine of the first version leaves each second,
    and one of the last version comes. ``names_first`` is whether callers name in
    ``Resumes`` which attempt brought the first event. At each of the times
    ``losses_at``, in seconds from the start, all VMs but ``survivors`` are killed and
    start again; at ``released_at`` all engines of the first version are replaced by
    ones of the last. ``lists_caches`` is whether engines say what they have cached.
    The VMs start ``start_gap_s`` apart, and the store refuses all calls for
    ``store_away_s`` from each loss on.
    """

    seconds: float = 12.0
    calls_per_s: float = 15.0
    versions: tuple[str, ...] = ("v1", "v1", "v2")
    broken_share: float = 0.3
    left_share: float = 0.0
    replaces: bool = False
    names_first: bool = True
    deadline_s: float = 6.0
    losses_at: tuple[float, ...] = ()
    survivors: int = 0
    released_at: float | None = None
    lists_caches: bool = True
    start_gap_s: float = 0.0
    store_away_s: float = 0.0


@attrs.define
class StreamRecord(CallRecord):
    """A stream over a caller's tries.

    ``versions`` holds the version of each event, ``resumed`` is how many tries took it
    up again, ``gone_on`` how many of these brought events, and ``reasons`` what those
    were told that didn't. ``orphaned`` and ``orphaned_gone_on`` are the same of tries
    at VMs that have all started after the stream had begun.
    """

    versions: list[str] = attrs.field(factory=list)
    resumed: int = 0
    gone_on: int = 0
    orphaned: int = 0
    orphaned_gone_on: int = 0
    is_whole: bool = False
    numbers: list[int] = attrs.field(factory=list)
    reasons: list[str] = attrs.field(factory=list)


@attrs.define
class VersionDrillResult(DrillResult):
    """What engines and callers recorded."""

    @property
    def mixed(self) -> list[StreamRecord]:
        """The streams that hold events of several versions."""
        return [call for call in self.calls if len(set(call.versions)) > 1]

    @property
    def broken_order(self) -> list[StreamRecord]:
        """The streams in which an event is missing or comes twice."""
        return [
            call
            for call in self.calls
            if call.numbers != list(range(1, len(call.numbers) + 1))
        ]

    def begun_share(self) -> float:
        """Return the share of the new streams that began at the first try."""
        return sum(call.first_status == 200 for call in self.calls) / len(self.calls)

    def resumed_share(self) -> float:
        """Return the share of the tries to take a stream up that brought events."""
        resumed = sum(call.resumed for call in self.calls)
        return sum(call.gone_on for call in self.calls) / resumed if resumed else 1.0

    def orphaned_share(self) -> float:
        """Return the same share of the tries at VMs that have all started since."""
        tries = sum(call.orphaned for call in self.calls)
        assert tries, "no stream was taken up after all VMs were lost"
        return sum(call.orphaned_gone_on for call in self.calls) / tries

    def summary(self) -> str:
        """Return the counts on one line."""
        whole = sum(call.is_whole for call in self.calls)
        resumed = sum(call.resumed for call in self.calls)
        orphaned = sum(call.orphaned for call in self.calls)
        orphaned_gone_on = sum(call.orphaned_gone_on for call in self.calls)
        reasons = sorted({reason for call in self.calls for reason in call.reasons})
        return (
            f"{len(self.mixed)} of {len(self.calls)} streams mixed, "
            f"{len(self.broken_order)} out of order, {whole} whole; "
            f"{self.begun_share():.0%} begun, {self.resumed_share():.0%} of {resumed} "
            f"tries gone on, {orphaned_gone_on} of {orphaned} after a loss of all VMs; "
            f"{reasons}"
        )


class VersionedEngine(CrashableEngine):
    """An engine whose events say its version, and which breaks some streams off."""

    version = ""
    breaks_off = staticmethod(lambda: False)

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a stream, or a part of it."""
        if self.cached_parts is not None:
            prompt = headers.get("prompt-prefix", "")
            self.cached_parts |= {e.partition(":")[0] for e in prompt.split(",")}
        lines = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        writer.write(response_head(headers, *lines))
        first = int(headers.get("last-event-id") or 0) + 1
        is_broken = self.breaks_off()
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}\n\n".encode()
            if is_broken and number >= first + 4:
                writer.write(b"%x\r\n%s" % (len(event), event[:9]))
                await asyncio.sleep(EVENT_SECONDS)
                reset_connection(writer)
                return
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await asyncio.sleep(EVENT_SECONDS)
            if writer.is_closing():
                return
        writer.write(b"0\r\n\r\n")


class VersionDrill(CrashDrill):
    """Gateways, a store, and engines of several versions."""

    routes = CHAT_ROUTES
    result_type = VersionDrillResult
    settings: VersionDrillSettings
    calls: list[StreamRecord]

    def __init__(self, folder: Path, settings: VersionDrillSettings) -> None:
        super().__init__(folder, settings)
        self._vms_run = asyncio.Event()
        self._vms_run.set()
        self._losses = 0

    def make_engine(self, name: str, domain: str) -> VersionedEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        engine = VersionedEngine(name, domain, settings.death, 0.0, self.arrivals)
        engine.version = settings.versions[len(self.engines) % len(settings.versions)]
        engine.breaks_off = lambda: self.random.random() < settings.broken_share
        engine.cached_parts = set() if settings.lists_caches else None
        return engine

    def record_of(self, engine: VersionedEngine) -> dict:
        """Return the store record of an engine, with its version."""
        return {**super().record_of(engine), "version": engine.version}

    async def send_crashing(self, began: float) -> None:
        """Do what the settings say to VMs and engines; no request crashes any."""
        await asyncio.gather(
            self._replace_engines(), self._release(began), self._lose_vms(began)
        )

    async def _release(self, began: float) -> None:
        """Replace all engines of the first version at once."""
        settings = self.settings
        if settings.released_at is None:
            return
        await pause(began + settings.released_at - time.monotonic())
        old = [e for e in self.engines if e.version == settings.versions[0]]
        for number, engine in enumerate(old):
            name = f"new{number}"
            await self._add_engine(name, engine.domain, settings.versions[-1])
            self.store.delete(f"servers/{engine.id}")

    async def _lose_vms(self, began: float) -> None:
        """Kill VMs at once and start them again, at each of the times."""
        for at in self.settings.losses_at:
            await pause(began + at - time.monotonic())
            lost = self.gateways[self.settings.survivors :]
            if not self.settings.survivors:
                self._vms_run.clear()
                self._losses += 1
            await asyncio.gather(*(g.process.kill() for g in lost))
            if self.settings.store_away_s:
                self._let_store_refuse()
            for gateway in lost:
                await gateway.process.start()
                await pause(self.settings.start_gap_s)
            # Where VMs start one after the other, callers come back to the first.
            first = lost[:1] if self.settings.start_gap_s else lost
            await asyncio.gather(*(g.wait_ready() for g in first))
            self._vms_run.set()
            await asyncio.gather(*(g.wait_ready() for g in lost))

    def _let_store_refuse(self) -> None:
        """Let the store refuse all calls for a while."""
        self.store.status = 503
        loop = asyncio.get_running_loop()
        loop.call_later(self.settings.store_away_s, self._let_store_serve)

    def _let_store_serve(self) -> None:
        self.store.status = 200

    async def _replace_engines(self) -> None:
        """Replace an engine of the first version each second, if they are to be."""
        settings = self.settings
        if not settings.replaces:
            return
        for number, engine in enumerate(list(self.engines)):
            await pause(1.0)
            if engine.version != settings.versions[0]:
                continue
            await self._add_engine(f"new{number}", engine.domain, settings.versions[-1])
            record = {**self.record_of(engine), "state": "draining"}
            self.store.put(f"servers/{engine.id}", record)

    async def _add_engine(self, name: str, domain: str, version: str) -> None:
        engine = self.make_engine(name, domain)
        engine.version = version
        await engine.start(free_address())
        self.engines.append(engine)
        self.store.put(f"servers/{engine.id}", self.record_of(engine))

    async def send_others(self, began: float) -> None:
        """Send new streams until the drill's end."""
        settings = self.settings
        while time.monotonic() < began + settings.seconds:
            self._send_stream(len(self.calls))
            await pause(self.random.expovariate(settings.calls_per_s))

    def _send_stream(self, number: int) -> None:
        record = StreamRecord(f"r{number:06}", "", "", time.monotonic())
        self.calls.append(record)
        task = asyncio.create_task(self._read_stream(number, record))
        self._call_tasks.add(task)
        task.add_done_callback(self._call_tasks.discard)

    async def _read_stream(self, number: int, record: StreamRecord) -> None:
        """Read a stream to its end, over several tries at any gateways."""
        shared = f"shared{number % SHARED_PARTS}"
        headers = {"Prompt-Prefix": f"{shared}:500,last{number}:20"}
        until = time.monotonic() + self.settings.deadline_s
        began_after = 0
        for attempt in range(MAX_TRIES):
            await self._vms_run.wait()
            headers["Request-Id"] = f"{record.request_id}-{attempt}"
            before = len(record.numbers)
            losses = self._losses
            if before:
                record.orphaned += losses > began_after
                headers["Last-Event-Id"] = str(record.numbers[-1])
                record.resumed += 1
            gateway = self.random.choice(self.gateways)
            await self._read_try(gateway, number, headers, record, until)
            if not before and record.numbers and self.settings.names_first:
                headers["Resumes"] = headers["Request-Id"]
            if not before:
                began_after = losses
            elif len(record.numbers) > before:
                record.gone_on += 1
                record.orphaned_gone_on += losses > began_after
            if record.is_whole or time.monotonic() > until - 1.0:
                return
            await pause(0.1)

    async def _read_try(
        self,
        gateway: GatewayProcess,
        number: int,
        headers: dict[str, str],
        record: StreamRecord,
        until: float,
    ) -> None:
        remaining_s = until - time.monotonic()
        headers = {
            **headers,
            "Host": HOST,
            "Credential": KEY,
            "Deadline-Ms": str(int(remaining_s * 1000)),
        }
        leaves = self.random.random() < self.settings.left_share
        try:
            async with (
                asyncio.timeout(0.4 if leaves else remaining_s),
                self._session.post(
                    f"http://{gateway.caller_address}/chat/{number}",
                    headers=headers,
                    data=f"prompt {number}".encode(),
                ) as reply,
            ):
                record.first_status = record.first_status or reply.status
                if reply.status != 200:
                    record.reasons.append(f"{reply.status}: {await reply.text()}")
                    return
                await _read_events(reply.content, record)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return


async def _read_events(content: aiohttp.StreamReader, record: StreamRecord) -> None:
    """Read the events of a response; a broken one ends with an error."""
    number = 0
    async for line in content:
        name, _, value = line.decode().strip().partition(": ")
        if name == "id":
            number = int(value)
        elif name == "data":
            record.numbers.append(number)
            record.versions.append(value)
    record.is_whole = number == EVENTS
