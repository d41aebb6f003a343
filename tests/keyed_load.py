"""Callers that retry non-idempotent calls with a key through other routers."""

import asyncio
import random
import time
from collections import Counter

import attrs
from uuid6 import uuid7

from dotterelpitch.load.caller import Answer
from tests.harness.fleet import SERVICE, Fleet
from tests.harness.waiting import pause

CALL_TIMEOUT_SECONDS = 4.0
RETRY_DELAY_SECONDS = 0.2
FINAL_OUTCOMES = {"completed", "failed", "not-run"}
MAY_HAVE_RUN_STATUS = 409


@attrs.define
class KeyHistory:
    """The answers to all calls with one key; times are in Unix seconds."""

    key: str
    created_at: float
    first_vm: str
    outcomes: list[str] = attrs.field(factory=list)
    response_texts: set[str] = attrs.field(factory=set)
    ended_at: float = 0.0

    @property
    def completed(self) -> bool:
        """Whether any call had the outcome ``completed``."""
        return "completed" in self.outcomes


class KeyedLoad:
    """A fixed number of callers, each of which uses one key after another."""

    def __init__(self, fleet: Fleet, seed: int, callers: int = 8) -> None:
        self.fleet = fleet
        self.histories: list[KeyHistory] = []
        self.out_of_service: set[str] = set()
        self._random = random.Random(seed)
        self._stopping = False
        self._tasks = [asyncio.create_task(self._run_caller()) for _ in range(callers)]

    async def stop(self) -> None:
        """Wait until each caller has finished its current key."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def since(self, instant: float) -> list[KeyHistory]:
        """Return the finished keys that were created at or after ``instant``."""
        return [h for h in self.histories if h.created_at >= instant and h.ended_at]

    def count_by_outcome(self, instant: float) -> Counter:
        """Return the number of keys created since ``instant`` by final outcome."""
        outcomes = (
            "completed" if h.completed else h.outcomes[-1] for h in self.since(instant)
        )
        return Counter(outcomes)

    async def check(self) -> None:
        """Assert that no key ran twice and that every reported outcome is correct."""
        count_by_key = await self.fleet.executions_by_key()
        duplicates = {key: n for key, n in count_by_key.items() if n > 1}
        assert not duplicates, f"ran more than once: {duplicates}"
        for history in self.histories:
            ran = count_by_key.get(history.key, 0)
            outcomes = set(history.outcomes)
            assert not ("not-run" in outcomes and ran), f"not-run but ran: {history}"
            assert not ("completed" in outcomes and not ran), f"never ran: {history}"
            assert len(history.response_texts) <= 1, (
                f"different answers for one key: {history}"
            )

    def _choose_vm(self) -> str:
        """Return a random VM in service, as a load balancer would."""
        vms = set(self.fleet.vm_by_name) - self.out_of_service
        return self._random.choice(sorted(vms))

    async def _run_caller(self) -> None:
        while not self._stopping:
            vm = self._choose_vm()
            history = KeyHistory(str(uuid7()), time.time(), vm)
            self.histories.append(history)
            await self._call_until_final(history)
            history.ended_at = time.time()
            await pause(0.02)

    async def _call_until_final(self, history: KeyHistory) -> None:
        """Call, and retry through other routers, until the answer is final.

        One key in four is called once more after its final answer.
        """
        vm = history.first_vm
        while True:
            answer = await self._call(history, vm)
            vm = self._choose_vm()
            is_final = answer.outcome in FINAL_OUTCOMES
            if is_final or answer.status == MAY_HAVE_RUN_STATUS:
                break
            if self._stopping and len(history.outcomes) > 8:
                return
            await pause(RETRY_DELAY_SECONDS)
        if self._random.random() < 0.25:
            await self._call(history, vm)

    async def _call(self, history: KeyHistory, vm: str) -> Answer:
        caller = self.fleet.caller(vm, timeout=CALL_TIMEOUT_SECONDS)
        answer = await caller.call("POST", SERVICE, "/swaps/7", history.key, b"box")
        history.outcomes.append(answer.outcome or "no answer")
        if answer.outcome == "completed":
            history.response_texts.add(answer.text)
        return answer
