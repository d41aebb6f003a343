"""Callers that reuse connections, cancel some requests, and send invalid ones."""

import asyncio
import contextlib
import time
from collections.abc import Mapping
from types import MappingProxyType

import aiohttp

from tests.harness.gateway_fleet import HOST
from tests.harness.gateway_soak.engine import (
    CRASH_ID_PREFIX,
    VERSION_FIELD,
    event,
    event_count,
    plain_body,
    request_body,
    seal,
)
from tests.harness.gateway_soak.fleet import BASE_ROUTES, SoakFleet, SoakVm
from tests.harness.gateway_soak.history import SentRequest
from tests.harness.waiting import pause

REQUESTS_PER_SECOND = 60.0
DEADLINE_SECONDS = 4.0
# The share of requests that the caller cancels, and the latest time to do so.
CANCELLED_SHARE = 0.06
MAX_CANCEL_SECONDS = 0.4
# A stream that breaks off is taken up again so often.
MAX_TAKE_UPS = 2
# The number of distinct prompt prefixes, which stand for conversations.
CHAT_COUNT = 20
# The first part of all prompts.
COMMON_PART = "aa"
EMPTY: Mapping[str, str] = MappingProxyType({})
# The share of requests with a route or key of the three newest configs, which
# older or newer configs may lack.
CHANGED_CONFIG_SHARE = 0.15


class Traffic:
    """Sends random requests to the gateways; ``rate_factor`` multiplies the rate."""

    def __init__(self, fleet: SoakFleet) -> None:
        self._fleet = fleet
        self._random = fleet.random
        self._open_tasks: set[asyncio.Task] = set()
        self._session: aiohttp.ClientSession | None = None
        self._count = 0
        self.rate_factor = 1.0

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds`` and wait for all answers."""
        until = time.monotonic() + seconds
        async with aiohttp.ClientSession() as self._session:
            while time.monotonic() < until:
                gap = self._random.expovariate(REQUESTS_PER_SECOND * self.rate_factor)
                await pause(gap)
                task = asyncio.create_task(self.send())
                self._open_tasks.add(task)
                task.add_done_callback(self._open_tasks.discard)
            await asyncio.gather(*self._open_tasks)

    async def served_share(self, count: int) -> float:
        """Send ``count`` requests that every config allows; return the share served."""
        async with aiohttp.ClientSession() as self._session:
            sent = await asyncio.gather(*(self._send_plain() for _ in range(count)))
        return sum(s.status == 200 and s.is_complete for s in sent) / count

    async def send(self) -> SentRequest:
        """Send one random request and return its record."""
        routes = list(BASE_ROUTES)
        keys = list(self._fleet.keys)[:1]
        if self._random.random() < CHANGED_CONFIG_SHARE:
            newest = self._fleet.history.configs[-3:]
            routes = sorted({r for c in newest for r in c.routes})
            keys = sorted({k for c in newest for k in c.keys})
        sent = self._new_request(self._random.choice(routes), self._random.choice(keys))
        cancel_after_seconds = None
        if self._random.random() < CANCELLED_SHARE:
            cancel_after_seconds = self._random.uniform(0.05, MAX_CANCEL_SECONDS)
        await self._exchange(sent, cancel_after_seconds)
        for _ in range(MAX_TAKE_UPS):
            if not _is_broken_stream(sent):
                break
            sent = self._take_up(sent)
            await self._exchange(sent, None)
        return sent

    async def _send_plain(self) -> SentRequest:
        sent = self._new_request("safe", self._fleet.keys[0])
        await self._exchange(sent, None)
        return sent

    async def send_crashing(self, content: str) -> None:
        """Send a request with this content, which crashes engines, at a random VM."""
        await self._send_crashing(content, f"/safe/{content}", content)

    async def send_crashing_prompt(self, part: str) -> None:
        """Send a request with this prompt part, which crashes engines, at a random VM.

        No two are alike but in this part and one that all requests share.
        """
        number = self._count + 1
        prompt = {"Prompt-Prefix": f"{COMMON_PART}:100,{part}:50,c{number:x}:9"}
        route = self._random.choice(["stream", "resumable"])
        await self._send_crashing(part, f"/{route}/{number}", str(number), prompt)

    async def _send_crashing(
        self, fault: str, path: str, content: str, prompt: Mapping[str, str] = EMPTY
    ) -> None:
        """Send a request that crashes engines in a session of its own.

        The fault may outlast the other traffic.
        """
        self._count += 1
        vm = self._pick_vm()
        request_id = f"{CRASH_ID_PREFIX}-{fault}-{vm.name}-{self._count}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Credential": self._fleet.keys[0],
            "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            **prompt,
        }
        url = f"http://{vm.gateway.caller_address}{path}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(DEADLINE_SECONDS),
                aiohttp.ClientSession() as session,
                session.post(url, headers=headers, data=content) as answer,
            ):
                await answer.read()

    def _new_request(self, route: str, key: str) -> SentRequest:
        self._count += 1
        vm = self._pick_vm()
        request_id = f"r{self._count:06}"
        body = request_body(request_id)
        sent = SentRequest(request_id, vm.name, route, key, body, time.monotonic())
        self._fleet.history.sent.append(sent)
        return sent

    def _take_up(self, broken: SentRequest) -> SentRequest:
        """Return the request that goes on with a stream, at any VM."""
        sent = self._new_request(broken.route, broken.key)
        sent.first_id = broken.content_id
        sent.body = broken.body
        sent.versions = set(broken.versions)
        sent.last_event = broken.last_event
        return sent

    def _pick_vm(self) -> SoakVm:
        vms = [vm for vm in self._fleet.vms if vm.in_rotation] or self._fleet.vms
        return self._random.choice(vms)

    async def _exchange(
        self, sent: SentRequest, cancel_after_seconds: float | None
    ) -> None:
        try:
            async with asyncio.timeout(cancel_after_seconds or DEADLINE_SECONDS + 2.0):
                await self._request(sent)
        except TimeoutError:
            sent.caller_left = True
            sent.error = "caller left" if cancel_after_seconds else "deadline exceeded"
        except (aiohttp.ClientError, OSError) as error:
            sent.error = repr(error)
        sent.ended = time.monotonic()

    async def _request(self, sent: SentRequest) -> None:
        vm = self._fleet.vm(sent.vm)
        content_id = sent.content_id
        chat = sum(content_id.encode()) % CHAT_COUNT
        headers = {
            "Host": HOST,
            "Request-Id": sent.id,
            "Credential": sent.key,
            "Tenant": "forged",
            "Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
            "Prompt-Prefix": f"{COMMON_PART}:100,{chat:x}:50,{content_id[1:]}:9",
        }
        if sent.first_id:
            headers["Resumes"] = sent.first_id
            headers["Last-Event-Id"] = str(sent.last_event)
        url = f"http://{vm.gateway.caller_address}{sent.path}"
        async with self._session.post(url, headers=headers, data=sent.body) as answer:
            sent.status = answer.status
            body = bytearray()
            first_event = sent.last_event + 1
            try:
                async for data in answer.content.iter_any():
                    body += data
            finally:
                _record_events(sent, body)
        sent.is_complete = answer.status != 200 or self._is_correct_answer(
            sent, answer, bytes(body), first_event
        )

    @staticmethod
    def _is_correct_answer(
        sent: SentRequest,
        answer: aiohttp.ClientResponse,
        body: bytes,
        first_event: int,
    ) -> bool:
        """Return whether a 200 is an engine's complete answer to this request.

        That of a stream begins with ``first_event``.
        """
        expected = plain_body(sent.id)
        expected_seal = seal(sent.id, expected)
        body = _without_versions(body)
        if sent.route.startswith(("stream", "resumable")):
            numbers = range(first_event, event_count(sent.content_id) + 1)
            expected = b"".join(event(sent.content_id, number) for number in numbers)
        has_id = answer.headers.get("Request-Id") == sent.id
        return (
            has_id
            and answer.headers.get("Response-Seal") == expected_seal
            and body == expected
        )


def _is_broken_stream(sent: SentRequest) -> bool:
    """Return whether a stream broke off that may be taken up again."""
    is_begun = sent.route == "resumable" and sent.last_event > 0
    is_over = sent.is_complete and sent.status == 200
    return is_begun and not is_over and not sent.caller_left


def _record_events(sent: SentRequest, body: bytes) -> None:
    """Record the versions and the last number of the complete events of a stream."""
    if sent.status != 200 or not sent.route.startswith(("stream", "resumable")):
        return
    for text in bytes(body).split(b"\n\n")[:-1]:
        value_by_name = dict(
            line.decode().split(": ", 1) for line in text.split(b"\n") if line
        )
        sent.last_event = int(value_by_name["id"])
        if VERSION_FIELD in value_by_name:
            sent.versions.add(value_by_name[VERSION_FIELD])


def _without_versions(body: bytes) -> bytes:
    """Return a body without the lines that name engine versions."""
    prefix = f"{VERSION_FIELD}: ".encode()
    lines = body.split(b"\n")
    return b"\n".join([line for line in lines if not line.startswith(prefix)])
