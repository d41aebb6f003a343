"""Measures the latency, CPU time, and memory that routers and agents add.

The latency is compared with that of direct calls to the same stand-in engines. One
run measures the added time to the first token at half load, the tokens per second
and router core, the resident memory when idle and with 500 open streams, and the
agent's share of a core.

    python benchmarks/overhead.py --vms 2 --seconds 10
"""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

import aiohttp
import attrs
import fire
import psutil

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from dotterelpitch.load.caller import Caller
from dotterelpitch.load.report import new_histogram, percentile_ms, record_seconds
from tests.harness.fleet import ACCOUNT_KEY, MODEL, Fleet, FleetShape
from tests.harness.waiting import eventually

ENGINES = 5
STREAM_TOKENS_PER_SECOND = 20
HALF_LOAD_STREAMS = 250
OPEN_STREAMS = 500
PROBES_PER_SECOND = 20
UNLIMITED_TOKENS = 1_000_000
PROBE_TOKENS = 2
PROBE_SEED = 1
BYTES_PER_MIB = 1024 * 1024
READ_BYTES = 64 * 1024


@attrs.define
class ProcessUsage:
    """CPU time of a set of processes, and the memory of the largest of them."""

    cpu_seconds: float
    resident_bytes: int

    @classmethod
    def measure_now(cls, pids: list[int]) -> "ProcessUsage":
        """Return the current usage; ``resident_bytes`` is of the largest process."""
        processes = [psutil.Process(pid) for pid in pids]
        times = [process.cpu_times() for process in processes]
        cpu = sum(t.user + t.system for t in times)
        return cls(cpu, max(p.memory_info().rss for p in processes))


class BackgroundStreams:
    """Streams through the routers that stay open and count the tokens received."""

    def __init__(self, fleet: Fleet) -> None:
        self.tokens = 0
        self._fleet = fleet
        self._tasks: set[asyncio.Task] = set()
        self._numbers = itertools.count()

    async def open(self, count: int) -> None:
        """Open streams until there are ``count``, and wait for their first tokens."""
        vms = itertools.cycle(self._fleet.vm_by_name.values())
        started = []
        for _ in range(count - len(self._tasks)):
            first = asyncio.Event()
            address = next(vms).http_address
            task = asyncio.create_task(self._read(address, next(self._numbers), first))
            self._tasks.add(task)
            started.append(first.wait())
        await asyncio.wait_for(asyncio.gather(*started), 60)

    async def close(self) -> None:
        """Close all streams."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def _read(self, address: str, number: int, first: asyncio.Event) -> None:
        body = _chat_request(f"background {number}", UNLIMITED_TOKENS)
        url = f"http://{address}/v1/chat/completions"
        headers = {"Authorization": f"Bearer {ACCOUNT_KEY}"}
        timeout = aiohttp.ClientTimeout(total=None)
        async with self._fleet.session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as response:
            if response.status != 200:
                raise RuntimeError(await response.text())
            async for chunk in response.content.iter_any():
                self.tokens += chunk.count(b"\nid: ") + chunk.startswith(b"id: ")
                first.set()


def _chat_request(text: str, tokens: int) -> dict:
    return {
        "model": MODEL,
        "messages": [{"role": "user", "content": text}],
        "stream": True,
        "max_tokens": tokens,
    }


async def probe(fleet: Fleet, seconds: float) -> tuple:
    """Return histograms of the time to the first token, direct and routed.

    Probes arrive as a Poisson process for ``seconds``, alternately at an engine and
    at a router.
    """
    histograms = new_histogram(), new_histogram()
    engines = itertools.cycle(fleet.endpoint_by_name.values())
    routers = itertools.cycle(fleet.vm_by_name.values())
    loop = asyncio.get_running_loop()
    rng = random.Random(PROBE_SEED)
    next_arrival = loop.time()
    async with asyncio.TaskGroup() as group:
        for number in range(int(seconds * PROBES_PER_SECOND)):
            next_arrival += rng.expovariate(PROBES_PER_SECOND)
            await asyncio.sleep(next_arrival - loop.time())
            direct = number % 2 == 0
            address = next(engines).address if direct else next(routers).http_address
            histogram = histograms[number % 2]
            group.create_task(_probe_once(fleet, address, number, histogram))
    return histograms


async def _probe_once(fleet: Fleet, address: str, number: int, histogram) -> None:
    caller = Caller(fleet.session, address, ACCOUNT_KEY)
    messages = [{"role": "user", "content": f"probe {number}"}]
    answer = await caller.chat(MODEL, messages, max_tokens=PROBE_TOKENS)
    if not answer.is_complete:
        raise RuntimeError(answer.error)
    record_seconds(histogram, answer.first_token)


async def measure(fleet: Fleet, seconds: float) -> None:
    """Run all parts of the benchmark and print their results."""
    routers = [vm.router.pid for vm in fleet.vm_by_name.values()]
    agents = [vm.agent.pid for vm in fleet.vm_by_name.values()]
    background = BackgroundStreams(fleet)
    await eventually(lambda: ProcessUsage.measure_now(routers), 5.0)
    await _print_usage("idle", routers, agents, background, seconds)
    await background.open(HALF_LOAD_STREAMS)
    direct, routed = await probe(fleet, 2 * seconds)
    for percentile in (50, 99):
        direct_ms = percentile_ms(direct, percentile)
        routed_ms = percentile_ms(routed, percentile)
        print(
            f"first token p{percentile}: direct {direct_ms:.2f} ms, "
            f"routed {routed_ms:.2f} ms, added {routed_ms - direct_ms:.2f} ms"
        )
    await _print_usage("half load", routers, agents, background, seconds)
    await background.open(OPEN_STREAMS)
    await _print_usage("500 streams", routers, agents, background, seconds)
    await background.close()


async def _print_usage(
    name: str,
    routers: list[int],
    agents: list[int],
    background: BackgroundStreams,
    seconds: float,
) -> None:
    routers_before, agents_before = (
        ProcessUsage.measure_now(routers),
        ProcessUsage.measure_now(agents),
    )
    tokens_before, started = background.tokens, time.perf_counter()
    await asyncio.sleep(seconds)
    elapsed = time.perf_counter() - started
    tokens = background.tokens - tokens_before
    routers_after, agents_after = (
        ProcessUsage.measure_now(routers),
        ProcessUsage.measure_now(agents),
    )
    router_cpu = routers_after.cpu_seconds - routers_before.cpu_seconds
    agent_cpu = agents_after.cpu_seconds - agents_before.cpu_seconds
    agent_share = agent_cpu / elapsed / len(agents)
    per_core = tokens / router_cpu if router_cpu else 0
    print(
        f"{name}: {tokens / elapsed:.0f} tokens/s, "
        f"{per_core:.0f} tokens per router core second, "
        f"router {router_cpu / elapsed / len(routers):.1%} of a core "
        f"{routers_after.resident_bytes / BYTES_PER_MIB:.1f} MiB, "
        f"agent {agent_share:.2%} {agents_after.resident_bytes / BYTES_PER_MIB:.1f} MiB"
    )


async def _run(vms: int, seconds: float) -> None:
    shape = FleetShape(
        vms_per_domain=vms,
        engines_per_domain=ENGINES,
        plains_per_domain=0,
        engine_flags={
            "concurrency": 4 * OPEN_STREAMS // ENGINES,
            "decode_step": 1 / STREAM_TOKENS_PER_SECOND,
            "batch_slowdown": 0.0,
        },
        endpoint_changes={"concurrency": 4 * OPEN_STREAMS // ENGINES},
        proxied=False,
    )
    print(f"{vms} routers, {ENGINES} engines, {STREAM_TOKENS_PER_SECOND} tokens/s each")
    async with Fleet(shape) as fleet:
        await measure(fleet, seconds)


def main(vms: int = 2, seconds: float = 10.0) -> None:
    """Measure a fleet of ``vms`` routers; each part takes ``seconds``."""
    asyncio.run(_run(vms, seconds))


if __name__ == "__main__":
    fire.Fire(main)
