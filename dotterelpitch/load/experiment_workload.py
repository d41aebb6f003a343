"""Seeded workload of the routing experiment, and a simulated engine.

The workload consists of chats with several turns.
"""

import random
from collections import OrderedDict, deque
from collections.abc import Iterator

import attrs

NEW_CHAT_SHARE = 0.2
OUTPUT_TOKENS = (20, 60, 120, 300, 800)
OUTPUT_SHARES = (0.25, 0.3, 0.25, 0.15, 0.05)
MEAN_OUTPUT_TOKENS = sum(
    t * s for t, s in zip(OUTPUT_TOKENS, OUTPUT_SHARES, strict=True)
)
SECONDS_PER_TOKEN = 0.02
MAX_TURNS = 20
# Sigma of the log-normal ratio of the expected to the actual output length.
ESTIMATE_SPREAD = 0.4


@attrs.frozen
class Deployment:
    """Size of a simulated site.

    ``cold_ratio`` is the ratio of the mean service time without the cached prefix to
    that with it. It is high where chats share a long document as their prefix.
    """

    name: str
    domains: int
    vms: int
    engines: int
    slots: int = 16
    accounts: int = 10
    cold_ratio: float = 1.5


DEPLOYMENTS = {
    d.name: d
    for d in (
        Deployment("disavnica", domains=3, vms=9, engines=10, cold_ratio=1.3),
        Deployment("cumpatat", domains=4, vms=8, engines=10, cold_ratio=2.5),
        Deployment("scaled", domains=8, vms=48, engines=100, accounts=100),
    )
}


@attrs.define(eq=False)
class Chat:
    """One chat; ``history_tokens`` counts the tokens of all its earlier turns."""

    name: str
    account: str
    history_tokens: int = 0
    turns: int = 0


@attrs.define(eq=False)
class Call:
    """One request and its result; times are in seconds of simulated time.

    ``output_tokens`` is the actual length of the answer, and ``expected_tokens``
    the routers' estimate of it. ``reusable_tokens`` is the largest part of the
    prefix that any live engine has cached, and ``reused_tokens`` the part cached on
    the call's own engine.
    """

    number: int
    chat: Chat
    arrived: float
    output_tokens: int
    expected_tokens: float
    prompt_tokens: int
    engine: str = ""
    started: float = 0.0
    ended: float = 0.0
    reused_tokens: int = 0
    reusable_tokens: int = 0
    weight: float = 0.0
    is_returning: bool = False


class ExperimentWorkload:
    """Generates the arrivals of an open-loop workload.

    Arrivals don't wait for answers, but a chat has no new turn until its previous
    one has ended. The chats of refused calls don't continue.
    """

    def __init__(
        self, deployment: Deployment, rate: float, seconds: float, seed: int
    ) -> None:
        self._deployment = deployment
        self._rate = rate
        self._seconds = seconds
        self._random = random.Random(seed)
        self._idle: list[Chat] = []
        self._chat_count = 0
        self.surging_account = ""
        self.surge_factor = 1.0
        self.surge_from = float("inf")

    def calls(self) -> Iterator[Call]:
        """Yield the calls in order of arrival."""
        at, number = 0.0, 0
        while True:
            at += self._random.expovariate(self._rate * self._rate_factor(at))
            if at >= self._seconds:
                return
            number += 1
            chat = self._next_chat(at)
            output_tokens = self._random.choices(OUTPUT_TOKENS, OUTPUT_SHARES)[0]
            expected_tokens = output_tokens * self._random.lognormvariate(
                0.0, ESTIMATE_SPREAD
            )
            prompt_tokens = self._random.randint(20, 200)
            yield Call(number, chat, at, output_tokens, expected_tokens, prompt_tokens)

    def record_end(self, call: Call) -> None:
        """Add a finished call to its chat, which may now have another turn."""
        call.chat.history_tokens += call.prompt_tokens + call.output_tokens
        call.chat.turns += 1
        if call.chat.turns < MAX_TURNS:
            self._idle.append(call.chat)

    def _rate_factor(self, at: float) -> float:
        if at < self.surge_from:
            return 1.0
        return 1.0 + (self.surge_factor - 1.0) / self._deployment.accounts

    def _next_chat(self, at: float) -> Chat:
        surging = (
            at >= self.surge_from and self._random.random() > 1 / self._rate_factor(at)
        )
        if not surging and self._idle and self._random.random() > NEW_CHAT_SHARE:
            index = self._random.randrange(len(self._idle))
            self._idle[index], self._idle[-1] = self._idle[-1], self._idle[index]
            return self._idle.pop()
        self._chat_count += 1
        account = f"account-{self._random.randrange(self._deployment.accounts)}"
        if surging:
            account = self.surging_account
        return Chat(f"chat-{self._chat_count}", account)


class SimulatedEngine:
    """Engine with slots, a FIFO queue, and an LRU prefix cache keyed by chat."""

    def __init__(self, name: str, slots: int, cache_tokens: int) -> None:
        self.name = name
        self.slots = slots
        self.running = 0
        self.load = 0.0
        self.queue: deque[Call] = deque()
        self.is_live = True
        self._cache_tokens = cache_tokens
        self._total_tokens = 0
        self._tokens_by_chat: OrderedDict[str, int] = OrderedDict()

    def cached_tokens(self, chat: Chat) -> int:
        """Return the number of tokens of the chat's prefix that are cached."""
        return min(self._tokens_by_chat.get(chat.name, 0), chat.history_tokens)

    def cache_prefix(self, chat: Chat, tokens: int) -> None:
        """Cache ``tokens`` of a chat's prefix and evict the least recently used."""
        self._total_tokens += tokens - self._tokens_by_chat.pop(chat.name, 0)
        self._tokens_by_chat[chat.name] = tokens
        while self._total_tokens > self._cache_tokens:
            self._total_tokens -= self._tokens_by_chat.popitem(last=False)[1]
