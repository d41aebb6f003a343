"""Callers that keep connections, leave at times, and send what may be refused."""

import asyncio
import time

import aiohttp

from tests.harness.gateway_soak.engine import (
    event,
    event_count,
    plain_body,
    request_body,
    seal,
)
from tests.harness.gateway_soak.history import Sent
from tests.harness.gateway_soak.world import BASE_ROUTES, SoakVm, SoakWorld
from tests.harness.gateway_world import HOST
from tests.harness.waiting import pause

REQUESTS_PER_SECOND = 60.0
BUDGET_SECONDS = 4.0
# Of the requests: those whose caller leaves early, and after at most how long.
LEAVERS = 0.06
LEAVE_SECONDS = 0.4
# The conversations that the prompts belong to.
CHATS = 20
# Of the requests: those with a route or key that isn't of every config.
PROBES = 0.15


class Traffic:
    """Sends requests until told to stop; ``factor`` multiplies the rate."""

    def __init__(self, world: SoakWorld) -> None:
        self._world = world
        self._random = world.random
        self._open: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None
        self._count = 0
        self.factor = 1.0

    async def run(self, seconds: float) -> None:
        """Send for ``seconds`` and wait for the answers."""
        until = time.monotonic() + seconds
        async with aiohttp.ClientSession() as self._session:
            while time.monotonic() < until:
                gap = self._random.expovariate(REQUESTS_PER_SECOND * self.factor)
                await pause(gap)
                task = asyncio.create_task(self.send())
                self._open.add(task)
                task.add_done_callback(self._open.discard)
            await asyncio.gather(*self._open)

    async def served_share(self, count: int) -> float:
        """Send requests that every config allows; return the share served."""
        async with aiohttp.ClientSession() as self._session:
            sent = await asyncio.gather(*(self._send_plain() for _ in range(count)))
        return sum(s.status == 200 and s.is_whole for s in sent) / count

    async def send(self) -> Sent:
        """Send one request of any kind."""
        routes = list(BASE_ROUTES)
        keys = list(self._world.keys)[:1]
        if self._random.random() < PROBES:
            seen = self._world.history.configs[-3:]
            routes = sorted({r for c in seen for r in c.routes})
            keys = sorted({k for c in seen for k in c.keys})
        sent = self._new(self._random.choice(routes), self._random.choice(keys))
        leaves_after = None
        if self._random.random() < LEAVERS:
            leaves_after = self._random.uniform(0.05, LEAVE_SECONDS)
        await self._exchange(sent, leaves_after)
        return sent

    async def _send_plain(self) -> Sent:
        sent = self._new("safe", self._world.keys[0])
        await self._exchange(sent, None)
        return sent

    def _new(self, route: str, key: str) -> Sent:
        self._count += 1
        vm = self._pick_vm()
        request_id = f"r{self._count:06}"
        body = request_body(request_id)
        sent = Sent(request_id, vm.name, route, key, body, time.monotonic())
        self._world.history.sent.append(sent)
        return sent

    def _pick_vm(self) -> SoakVm:
        vms = [vm for vm in self._world.vms if vm.in_rotation] or self._world.vms
        return self._random.choice(vms)

    async def _exchange(self, sent: Sent, leaves_after: float | None) -> None:
        try:
            async with asyncio.timeout(leaves_after or BUDGET_SECONDS + 2.0):
                await self._request(sent)
        except TimeoutError:
            sent.left = True
            sent.fault = "left" if leaves_after else "held too long"
        except (aiohttp.ClientError, OSError) as error:
            sent.fault = repr(error)
        sent.ended = time.monotonic()

    async def _request(self, sent: Sent) -> None:
        vm = self._world.vm(sent.vm)
        chat = sum(sent.id.encode()) % CHATS
        headers = {
            "Host": HOST,
            "Request-Id": sent.id,
            "Credential": sent.key,
            "Tenant": "forged",
            "Deadline-Ms": str(int(BUDGET_SECONDS * 1000)),
            "Prompt-Prefix": f"aa:100,{chat:x}:50,{sent.id[1:]}:9",
        }
        url = f"http://{vm.gateway.callers}{sent.path}"
        async with self._session.post(url, headers=headers, data=sent.body) as answer:
            sent.status = answer.status
            body = await answer.read()
        sent.is_whole = answer.status != 200 or self._is_right(sent, answer, body)

    @staticmethod
    def _is_right(sent: Sent, answer: aiohttp.ClientResponse, body: bytes) -> bool:
        """Whether a 200 is the whole answer of an engine to this request."""
        expected = plain_body(sent.id)
        sealed = seal(sent.id, expected)
        if sent.route.startswith(("stream", "resumable")):
            numbers = range(1, event_count(sent.id) + 1)
            expected = b"".join(event(sent.id, number) for number in numbers)
        has_id = answer.headers.get("Request-Id") == sent.id
        return (
            has_id
            and answer.headers.get("Response-Seal") == sealed
            and body == expected
        )
