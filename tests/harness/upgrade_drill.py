"""Replaces gateways of an earlier build one after the other, under load.

Meanwhile a failure domain is evacuated, an engine leaves, and streams are under way.
"""

import asyncio
import time
from pathlib import Path

import attrs

from dotterelpitch.telemetry.events import Event
from tests.harness.gateway_fleet import (
    ROUTES,
    GatewayFleet,
    make_config,
    request_bytes,
    send_raw,
)
from tests.harness.ports import free_address
from tests.harness.processes import REPOSITORY
from tests.harness.scripted_engine import ScriptedEngine

DOMAINS = "aab"
CALL_INTERVAL_SECONDS = 0.05
BETWEEN_VMS_SECONDS = 1.5
# A VM that has just started may lag behind for so long.
SETTLE_SECONDS = 1.0
DRAIN_SECONDS = 3.0
STREAM_EVENTS = 6
STREAM_EVENT_SECONDS = 0.25
# Messages of the other build that can't be read.
UNREAD_EVENTS = (Event.DIGEST_REFUSED, Event.PEER_REFUSED, Event.STREAM_FAILED)


@attrs.define
class UpgradeResult:
    """What went wrong: late arrivals, calls without an answer, and unread messages.

    ``from_earlier`` counts the arrivals in the evacuated domain while VMs of the
    earlier build ran, which may heed no evacuation.
    """

    from_earlier: int = 0
    late_evacuated: list[float] = attrs.field(factory=list)
    late_leaving: list[float] = attrs.field(factory=list)
    statuses: dict[int, int] = attrs.field(factory=dict)
    incomplete_streams: int = 0
    streams: int = 0
    unread: list[dict] = attrs.field(factory=list)

    def served_share(self) -> float:
        """Return the share of the calls that were answered with success."""
        return self.statuses.get(200, 0) / sum(self.statuses.values())


class _Engine(ScriptedEngine):
    """An engine that records when each request arrived, and streams on one route."""

    def __init__(self, engine_id: str, domain: str) -> None:
        super().__init__(engine_id, self._answer)
        self.domain = domain
        self.arrivals: list[float] = []

    async def _answer(self, exchange) -> None:
        self.arrivals.append(time.monotonic())
        if not exchange.target.startswith("/stream/"):
            await asyncio.sleep(0.03)
            exchange.write_head("200 OK", "Content-Length: 2")
            exchange.writer.write(b"ok")
            return
        exchange.write_head(
            "200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
        )
        for number in range(1, STREAM_EVENTS + 1):
            exchange.write_chunk(b"id: %d\ndata: x\n\n" % number)
            await asyncio.sleep(STREAM_EVENT_SECONDS)
        exchange.write_chunk(b"")


class UpgradeDrill:
    """A fleet whose VMs start from the checkout ``earlier``."""

    def __init__(self, folder: Path, earlier: Path, vms: int = 6) -> None:
        self._earlier = earlier
        self._vms = vms
        self._fleet = GatewayFleet(folder)
        self._fleet.engines = [
            _Engine(f"e{number}", domain) for number, domain in enumerate(DOMAINS)
        ]
        self._result = UpgradeResult()
        self._replaced_at: dict[str, float] = {}

    async def run(self) -> UpgradeResult:
        """Return what was seen while all VMs were replaced."""
        fleet = self._fleet
        await fleet.store.start(free_address())
        try:
            await self._start()
            callers = asyncio.create_task(self._call())
            evacuated_at, leaving_at = await self._replace_all()
            callers.cancel()
            await asyncio.gather(callers, return_exceptions=True)
            self._judge(evacuated_at, leaving_at)
        finally:
            await fleet.stop()
        return self._result

    async def _start(self) -> None:
        fleet = self._fleet
        fleet.store.put("op/config", make_config(1, ROUTES))
        for engine in fleet.engines:
            await engine.start(free_address())
            self._register(engine)
        for _ in range(self._vms):
            gateway = fleet.add_gateway(fleet.store.address)
            gateway.process.build = self._earlier
            await gateway.process.start()
        for gateway in fleet.gateways:
            await gateway.wait_ready()

    def _register(self, engine: _Engine, state: str = "ready") -> None:
        content = {
            "service": "calls",
            "address": engine.address,
            "zone": engine.domain,
            "state": state,
            "capacity": 16,
            "born": 1,
        }
        self._fleet.store.put(f"servers/{engine.id}", content)

    async def _replace_all(self) -> tuple[float, float]:
        """Replace the VMs; return when the domain was evacuated and an engine left."""
        evacuated_at = leaving_at = float("inf")
        await asyncio.sleep(BETWEEN_VMS_SECONDS)
        for number, gateway in enumerate(self._fleet.gateways):
            if number == self._vms // 3:
                self._fleet.store.put("op/evacuate/b", {})
                evacuated_at = time.monotonic()
            if number == self._vms // 2:
                self._register(self._fleet.engines[0], "draining")
                leaving_at = time.monotonic()
            await gateway.process.terminate(8.0)
            gateway.process.build = REPOSITORY
            await gateway.process.start()
            await gateway.wait_ready()
            self._replaced_at[gateway.caller_address] = time.monotonic()
            await asyncio.sleep(BETWEEN_VMS_SECONDS)
        await asyncio.sleep(DRAIN_SECONDS + SETTLE_SECONDS)
        return evacuated_at, leaving_at

    async def _call(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(10**9):
                for gateway in self._fleet.gateways:
                    path = "/stream/x" if number % 20 == 0 else "/safe/x"
                    group.create_task(self._call_once(gateway.caller_address, path))
                await asyncio.sleep(CALL_INTERVAL_SECONDS)

    async def _call_once(self, address: str, path: str) -> None:
        try:
            response = await send_raw(address, request_bytes(path))
        except OSError:
            return  # The VM is being replaced; a load balancer would know.
        if not response:
            return
        status = int(response.split(b" ")[1])
        self._result.statuses[status] = self._result.statuses.get(status, 0) + 1
        if path.startswith("/stream") and status == 200:
            self._result.streams += 1
            is_whole = response.count(b"data: x") == STREAM_EVENTS
            self._result.incomplete_streams += not is_whole

    def _judge(self, evacuated_at: float, leaving_at: float) -> None:
        leaving, _, evacuated = self._fleet.engines
        # As long as a VM of the earlier build runs, it heeds no evacuation.
        from_at = max(evacuated_at, *self._replaced_at.values()) + SETTLE_SECONDS
        self._result.from_earlier = sum(
            evacuated_at + SETTLE_SECONDS < a < from_at for a in evacuated.arrivals
        )
        self._result.late_evacuated = [a for a in evacuated.arrivals if a > from_at]
        drained_at = leaving_at + DRAIN_SECONDS
        self._result.late_leaving = [a for a in leaving.arrivals if a > drained_at]
        for gateway in self._fleet.gateways:
            for event in UNREAD_EVENTS:
                self._result.unread += gateway.process.events(event.number)
