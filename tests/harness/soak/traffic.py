"""Callers of a soak: chats of several turns and keyed calls with retries."""

import asyncio
import itertools
import random
import time

import uuid6

from dotterelpitch.load.caller import Answer
from dotterelpitch.standins.engine_model import expected_text
from tests.harness.fleet import MODEL, SERVICE, Fleet
from tests.harness.soak.history import History, SentRequest
from tests.harness.waiting import pause

SURGE_KEY = "surge-key"
CHAT_TIMEOUT_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 15.0
MAX_CHATS = 60
MAX_TOKENS = 40
CHATS_PER_SECOND = 12.0
CALLS_PER_SECOND = 4.0
MAX_RETRIES = 2


class Traffic:
    """Sends seeded random requests to the VMs in ``balanced_vms``.

    ``surge_factor`` is the number of surge chats sent with each request.
    """

    def __init__(self, fleet: Fleet, history: History, seed: int) -> None:
        self.balanced_vms = set(fleet.vm_by_name)
        self.surge_factor = 0
        self._fleet = fleet
        self._history = history
        self._random = random.Random(seed)
        self._chat_numbers = itertools.count(1)
        self._messages_by_chat: dict[str, list[dict[str, str]]] = {}
        self._busy_chats: set[str] = set()
        self._open_tasks: set[asyncio.Task] = set()

    async def run(self, seconds: float) -> None:
        """Send requests for ``seconds`` and wait for all answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            await pause(self._random.expovariate(CHATS_PER_SECOND + CALLS_PER_SECOND))
            self._send_random_request()
            for _ in range(self.surge_factor):
                self._start_task(self._surge_chat())
        if self._open_tasks:
            await asyncio.wait(self._open_tasks)

    def _send_random_request(self) -> None:
        share = CALLS_PER_SECOND / (CHATS_PER_SECOND + CALLS_PER_SECOND)
        is_call = self._random.random() < share
        self._start_task(self._keyed_call() if is_call else self._chat())

    def _start_task(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._open_tasks.add(task)
        task.add_done_callback(self._open_tasks.discard)

    def _pick_vm(self) -> str:
        return self._random.choice(sorted(self.balanced_vms))

    async def _chat(self) -> None:
        idle = sorted(set(self._messages_by_chat) - self._busy_chats)
        if idle and (len(idle) >= MAX_CHATS or self._random.random() < 0.8):
            name = self._random.choice(idle)
        else:
            name = f"chat-{next(self._chat_numbers)}"
        messages = self._messages_by_chat.setdefault(name, [])[-8:]
        messages.append({"role": "user", "content": f"{name}: go on, please"})
        self._busy_chats.add(name)
        tokens = self._random.randint(5, MAX_TOKENS)
        answer = await self._send_chat(name, messages, tokens)
        messages.append({"role": "assistant", "content": answer.text})
        self._messages_by_chat[name] = messages
        self._busy_chats.discard(name)

    async def _surge_chat(self) -> None:
        name = f"surge-{next(self._chat_numbers)}"
        messages = [{"role": "user", "content": name}]
        await self._send_chat(name, messages, MAX_TOKENS, SURGE_KEY)

    async def _send_chat(
        self, name: str, messages: list[dict[str, str]], tokens: int, key: str = ""
    ) -> Answer:
        vm = self._pick_vm()
        caller = self._fleet.caller(
            vm, *([key] if key else []), timeout=CHAT_TIMEOUT_SECONDS
        )
        kind = "surge" if key else "chat"
        expected = expected_text(MODEL, messages, tokens)
        sent = SentRequest(vm, time.time(), expected, kind=kind)
        self._history.sent.append(sent)
        sent.answer = await caller.chat(MODEL, messages, name, tokens)
        sent.ended = time.time()
        return sent.answer

    async def _keyed_call(self) -> None:
        """Send a non-idempotent call and retry it with the same key.

        Retries end once the outcome is ``completed`` or ``failed``, or after
        ``MAX_RETRIES``. The key is a UUIDv7: from its timestamp an admission owner
        that has just taken over can tell that the call can't have been dispatched
        before.
        """
        key = str(uuid6.uuid7())
        for _ in range(1 + MAX_RETRIES):
            vm = self._pick_vm()
            caller = self._fleet.caller(vm, timeout=CALL_TIMEOUT_SECONDS)
            sent = SentRequest(vm, time.time(), key=key, kind="keyed call")
            self._history.sent.append(sent)
            sent.answer = await caller.call("POST", SERVICE, "/swaps/7", key)
            sent.ended = time.time()
            if sent.answer.outcome in ("completed", "failed"):
                return
