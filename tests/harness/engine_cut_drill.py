"""Plays VMs that are cut off from all engines, while all else reaches them."""

import asyncio
import time
from enum import StrEnum
from pathlib import Path

import attrs

from tests.harness.crash_drill.drill import CrashDrill, DrillResult, DrillSettings
from tests.harness.crash_drill.engine import (
    CrashableEngine,
    response_head,
    write_stream,
)
from tests.harness.gateway_fleet import GatewayProcess
from tests.harness.ports import free_address
from tests.harness.proxy import Direction
from tests.harness.source_proxy import SourceProxy
from tests.harness.waiting import pause

# Calls sent within this time after a cut began aren't covered by our own bar.
DETECTION_SECONDS = 1.0
# A first try counts as served if its response has begun within this time.
SERVED_SECONDS = 1.5
ROUTES = {
    "safe": {"kind": "safe", "max_attempts": 2},
    "unsafe": {"kind": "unsafe", "max_attempts": 1},
    "chat": {
        "kind": "streaming",
        "max_attempts": 2,
        "stream_resume": True,
        "session_affinity": True,
    },
}


class Cut(StrEnum):
    """What a cut does to the connections of a VM to engines.

    With SILENT new connections succeed and nothing passes any more. With RESET all
    connections are reset, new ones at once. With NEW_RESET open connections live on
    and new ones are reset. With ONE_WAY requests arrive and no response comes back.
    """

    SILENT = "silent"
    RESET = "reset"
    NEW_RESET = "new ones reset"
    ONE_WAY = "one way"


@attrs.frozen
class EngineCutSettings(DrillSettings):
    """One setting of a drill.

    The first ``cut_vms`` gateways are cut off ``cuts`` times from ``cut_at`` on, for
    ``cut_s`` each, with as much time in between. Times are in seconds.
    """

    gateways: int = 6
    engines: int = 3
    seconds: float = 11.0
    calls_per_s: float = 40.0
    work_s: float = 0.1
    deadline_s: float = 4.0
    cut: Cut = Cut.SILENT
    cut_vms: int = 2
    cut_at: float = 2.0
    cut_s: float = 7.0
    cuts: int = 1
    stopped_vm: int | None = None
    is_killed: bool = False


@attrs.define
class EngineCutResult(DrillResult):
    """What engines and callers recorded.

    ``cut_spans`` are the beginnings and ends of cuts, and ``cut_off`` the names of the
    VMs that were cut off. ``unsafe_ids`` are the calls that may run only once.
    """

    cut_spans: list[tuple[float, float]] = attrs.field(factory=list)
    cut_off: set[str] = attrs.field(factory=set)
    unsafe_ids: set[str] = attrs.field(factory=set)

    def served(self, is_cut_off: bool) -> tuple[int, int]:
        """Return how many first tries were served during cuts, and of how many."""
        calls = [
            call
            for call in self.calls
            if (call.vm in self.cut_off) is is_cut_off and self._is_covered_call(call)
        ]
        served = [
            call
            for call in calls
            if call.first_status == 200 and call.first_seconds <= SERVED_SECONDS
        ]
        return len(served), len(calls)

    def served_share(self, is_cut_off: bool) -> float:
        """Return the share of first tries that were served during cuts."""
        served, count = self.served(is_cut_off)
        return served / count

    def slowest_failure_s(self) -> float:
        """Return the longest time to a failed first try's answer during cuts."""
        return max(
            (
                call.first_seconds
                for call in self.calls
                if self._is_covered_call(call) and call.first_status >= 500
            ),
            default=0.0,
        )

    def run_twice(self) -> list[str]:
        """Return the attempts of unsafe calls that engines have run twice."""
        ids = [a.request_id for a in self.arrivals if not a.crashed]
        return sorted({i for i in ids if ids.count(i) > 1 and i in self.unsafe_ids})

    def summary(self) -> str:
        """Return the counts on one line."""
        cut, others = self.served(True), self.served(False)
        failed = [
            (c.first_status, round(c.first_seconds, 2))
            for c in self.calls
            if c.vm in self.cut_off
            and self._is_covered_call(c)
            and c.first_status != 200
        ]
        return (
            f"{cut[0]} of {cut[1]} served where cut off, {others[0]} of {others[1]} at "
            f"the others; {len(self.run_twice())} run twice; failed: {failed[:12]}"
        )

    def _is_covered_call(self, call) -> bool:
        return any(
            began + DETECTION_SECONDS <= call.at < ended
            for began, ended in self.cut_spans
        )


class MixedEngine(CrashableEngine):
    """An engine that streams on chat routes and responds at once on others."""

    async def respond(
        self, headers: dict[str, str], body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Write a stream, or a plain response."""
        if body.startswith(b"chat"):
            await write_stream(headers, writer, self._work_s)
            return
        await asyncio.sleep(self._work_s / 4)
        writer.write(response_head(headers, f"Content-Length: {len(body)}") + body)


class EngineCutDrill(CrashDrill):
    """Gateways of which some are cut off from all engines for a while."""

    routes = ROUTES
    settings: EngineCutSettings

    def __init__(self, folder: Path, settings: EngineCutSettings) -> None:
        super().__init__(folder, settings)
        self.proxies: list[SourceProxy] = []
        self._proxy_by_engine: dict[str, SourceProxy] = {}
        self._name_by_pid: dict[int, str] = {}
        self._spans: list[tuple[float, float]] = []
        self._unsafe_ids: set[str] = set()

    def result_type(self, *args) -> EngineCutResult:
        """Return the result of the drill."""
        return EngineCutResult(
            *args,
            cut_spans=self._spans,
            cut_off={g.process.name for g in self._cut_gateways()},
            unsafe_ids=self._unsafe_ids,
        )

    def make_engine(self, name: str, domain: str) -> MixedEngine:
        """Return an engine that isn't started yet."""
        settings = self.settings
        return MixedEngine(name, domain, settings.death, settings.work_s, self.arrivals)

    def record_of(self, engine: CrashableEngine) -> dict:
        """Return the store record of an engine, with the address of its proxy."""
        record = super().record_of(engine)
        return {**record, "address": self._proxy_by_engine[engine.id].address}

    def _register(self, engine: CrashableEngine) -> None:
        proxy = SourceProxy(engine.address, lambda: self._name_by_pid)
        proxy.address = free_address()
        self.proxies.append(proxy)
        self._proxy_by_engine[engine.id] = proxy
        self._tasks.append(asyncio.create_task(self._serve_proxy(proxy, engine)))

    async def _serve_proxy(self, proxy: SourceProxy, engine: CrashableEngine) -> None:
        await proxy.start()
        self.store.put(f"servers/{engine.id}", self.record_of(engine))

    def _cut_gateways(self) -> list:
        return self.gateways[: self.settings.cut_vms]

    async def send_crashing(self, began: float) -> None:
        """Cut the gateways off; no request crashes an engine."""
        settings = self.settings
        for gateway in self.gateways:
            self._name_by_pid[gateway.process.pid] = gateway.process.name
        await pause(began + settings.cut_at - time.monotonic())
        for number in range(settings.cuts):
            if number:
                await pause(settings.cut_s)
            since = time.monotonic()
            self._cut_off()
            if settings.stopped_vm is not None:
                await pause(settings.cut_s / 2)
                await self._end(self.gateways[settings.stopped_vm])
                await pause(settings.cut_s / 2)
            else:
                await pause(settings.cut_s)
            self._reconnect()
            self._spans.append((since, time.monotonic()))

    async def _end(self, gateway: GatewayProcess) -> None:
        if self.settings.is_killed:
            await gateway.process.kill()
        else:
            await gateway.process.terminate()

    def _cut_off(self) -> None:
        for proxy in self.proxies:
            for gateway in self._cut_gateways():
                self._cut_one(proxy, gateway.process.name)

    def _cut_one(self, proxy: SourceProxy, vm: str) -> None:
        cut = self.settings.cut
        if cut is Cut.SILENT:
            proxy.drop(vm)
        if cut is Cut.ONE_WAY:
            proxy.drop(vm, Direction.BACKWARD)
        if cut is Cut.RESET:
            proxy.reset(vm)
        if cut in (Cut.RESET, Cut.NEW_RESET):
            proxy.refused.add(vm)

    def _reconnect(self) -> None:
        for proxy in self.proxies:
            proxy.refused.clear()
            for gateway in self._cut_gateways():
                proxy.heal(gateway.process.name)

    async def send_others(self, began: float) -> None:
        """Send calls of each kind until the drill's end."""
        settings = self.settings
        while time.monotonic() < began + settings.seconds:
            number = len(self.calls)
            kind = ("chat", "safe", "unsafe")[number % 3]
            if kind == "unsafe":
                self._unsafe_ids.add(f"r{number:06}")
            gateway = self.random.choice(self._targets())
            headers = {"Prompt-Prefix": f"shared:500,last{number}:20"}
            self.send(
                gateway,
                f"/{kind}/{number}",
                f"{kind} {number}".encode(),
                headers if kind == "chat" else {},
            )
            await pause(self.random.expovariate(settings.calls_per_s))

    def _targets(self) -> list:
        """Return the gateways that callers are sent to."""
        stopped = self.settings.stopped_vm
        return [g for n, g in enumerate(self.gateways) if n != stopped]

    async def _stop(self) -> None:
        await super()._stop()
        for proxy in self.proxies:
            await proxy.stop()
