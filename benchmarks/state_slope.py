"""Measures the cost of membership, gossip, and platform reads by fleet size.

Real agents run as tasks of this process, connected over loopback, with a stand-in
for the platform. Each agent publishes two digests of 60 bytes every second. One row
per size: control bytes and CPU time per agent, links, digest age, platform calls, and
the time until a document is in force on every agent.

Run with ``python -m benchmarks.state_slope --sizes=12,24,48``.
"""

import asyncio
import json
import resource
import statistics
import time

import attrs
import fire
from aiohttp import web

from dotterelpitch.agent.app import Agent
from dotterelpitch.agent.settings import AgentSettings
from dotterelpitch.standins.platform import PlatformStandIn
from tests.harness.ports import free_address
from tests.harness.waiting import eventually, pause

DOMAINS = 4
SETTLE_SECONDS = 12.0
MEASURE_SECONDS = 20.0
AGE_SAMPLES = 20
DIGEST_BYTES = 60
DOCUMENT_SAMPLES = 3
TIMEOUT_SECONDS = 90.0
DIGEST_TOPICS = ("load", "usage")


@attrs.frozen
class Sample:
    """Counters of the complete fleet at one moment."""

    control_bytes: int
    bytes_by_kind: dict[str, int]
    platform_calls: int
    cpu_seconds: float


@attrs.frozen
class MeasuredRow:
    """Results for one fleet size.

    Rates are per second, bytes and links per agent, and digest ages in seconds.
    """

    vms: int
    services: int
    control_bytes: float
    most_links: int
    mean_links: float
    cpu_percent: float
    digest_age_mean: float
    digest_age_p99: float
    platform_calls: float
    waiting_watches: int
    in_force_seconds: float
    bytes_by_kind: dict[str, float]


class InProcessFleet:
    """A platform stand-in and ``size`` agents in this process."""

    def __init__(self, size: int, services: int, bytes_per_second: float) -> None:
        self.platform = PlatformStandIn()
        self.platform_address = free_address()
        self.services = tuple(f"service-{n}" for n in range(services))
        self.agents = [
            Agent(
                AgentSettings(
                    vm_name=f"vm-{n}",
                    failure_domain=f"domain-{n % DOMAINS}",
                    listen=free_address(),
                    platform=self.platform_address,
                    services=self.services,
                    cluster_key="k",
                    gossip_bytes_per_second=bytes_per_second,
                )
            )
            for n in range(size)
        ]
        self._tasks: list[asyncio.Task] = []
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start the platform and the agents, and wait until all agents converge.

        The agents have converged when each has the links digest of every agent and
        suspects no VM.
        """
        self._runner = web.AppRunner(self.platform.application(), access_log=None)
        await self._runner.setup()
        host, _, port = self.platform_address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self.platform.put("vms", [self._vm_record(agent) for agent in self.agents])
        for service in self.services:
            self.publish(service, 1.25)
        self._tasks = [asyncio.create_task(agent.serve()) for agent in self.agents]
        await eventually(self._has_converged, TIMEOUT_SECONDS, "all linked")
        self._tasks.append(asyncio.create_task(self._publish_digests()))

    async def stop(self) -> None:
        """Stop the agents and the platform.

        The second stop request ends an agent without its graceful shutdown.
        """
        for agent in self.agents:
            agent.request_stop()
            agent.request_stop()
        self._tasks.pop().cancel()
        await asyncio.wait(self._tasks, timeout=TIMEOUT_SECONDS)
        await self._runner.cleanup()

    def publish(self, service: str, load_bound: float) -> int:
        """Publish a document and return its revision."""
        content = {"service": service, "load_bound": load_bound}
        return self.platform.put(f"documents/{service}", content)

    def sample(self) -> Sample:
        """Return the current counters."""
        bytes_by_kind: dict[str, int] = {}
        for agent in self.agents:
            for kind, size in agent.links.sent.bytes_by_kind.items():
                bytes_by_kind[kind] = bytes_by_kind.get(kind, 0) + size
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return Sample(
            sum(agent.links.control_bytes_sent() for agent in self.agents),
            bytes_by_kind,
            sum(agent.platform.calls for agent in self.agents),
            usage.ru_utime + usage.ru_stime,
        )

    def digest_ages(self) -> list[float]:
        """Return the age in seconds of each load digest at each other agent."""
        now = time.time()
        return [
            now - digest.version / 1000
            for agent in self.agents
            for origin, digest in agent.state.digests.by_origin("load").items()
            if origin != agent.state.vm
        ]

    async def time_document(self, load_bound: float) -> float:
        """Return the seconds from publishing a document until all agents have it."""
        service = self.services[0]
        started = time.monotonic()
        revision = self.publish(service, load_bound)

        def is_in_force_everywhere() -> bool:
            return all(
                agent.state.documents.revision(service) == revision
                for agent in self.agents
            )

        await eventually(is_in_force_everywhere, TIMEOUT_SECONDS, "in force")
        return time.monotonic() - started

    def _has_converged(self) -> bool:
        return all(
            agent.state.settled.is_set()
            and len(agent.state.digests.by_origin("links")) == len(self.agents)
            and not agent.state.view.value.suspected
            for agent in self.agents
        )

    async def _publish_digests(self) -> None:
        while True:
            for agent in self.agents:
                payload = time.monotonic_ns().to_bytes(DIGEST_BYTES, "big")
                for topic in DIGEST_TOPICS:
                    agent.state.pacer.offer(topic, payload)
            await asyncio.sleep(1.0)

    @staticmethod
    def _vm_record(agent: Agent) -> dict[str, str]:
        return {
            "name": agent.settings.vm_name,
            "failure_domain": agent.settings.failure_domain,
            "agent_address": agent.settings.listen,
        }


async def measure(size: int, services: int, bytes_per_second: float) -> MeasuredRow:
    """Measure one fleet size and return its row."""
    fleet = InProcessFleet(size, services, bytes_per_second)
    await fleet.start()
    await pause(SETTLE_SECONDS)
    before = fleet.sample()
    ages = []
    for _ in range(AGE_SAMPLES):
        await pause(MEASURE_SECONDS / AGE_SAMPLES)
        ages += fleet.digest_ages()
    after = fleet.sample()
    ages.sort()
    links = [len(agent.links.peers) for agent in fleet.agents]
    waiting = fleet.platform.waiting
    times = [await fleet.time_document(1.3 + n / 10) for n in range(DOCUMENT_SAMPLES)]
    await fleet.stop()
    seconds = MEASURE_SECONDS * size
    cpu = after.cpu_seconds - before.cpu_seconds
    return MeasuredRow(
        size,
        services,
        round((after.control_bytes - before.control_bytes) / seconds, 1),
        max(links),
        round(statistics.mean(links), 2),
        round(100 * cpu / seconds, 3),
        round(statistics.mean(ages), 2),
        round(ages[int(len(ages) * 0.99)], 2),
        round((after.platform_calls - before.platform_calls) / MEASURE_SECONDS, 2),
        waiting,
        round(max(times), 3),
        {
            kind: round((kind_bytes - before.bytes_by_kind.get(kind, 0)) / seconds, 1)
            for kind, kind_bytes in sorted(after.bytes_by_kind.items())
        },
    )


def main(sizes=(12, 24, 48), services: int = 4, bytes_per_second: float = 2500.0):
    """Measure each of the comma-separated ``sizes`` and print a JSON line for each."""
    for size in [sizes] if isinstance(sizes, int) else sizes:
        row = asyncio.run(measure(size, services, bytes_per_second))
        print(json.dumps(attrs.asdict(row)), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
