"""Prefix cache of the engine stand-in, with a token limit and LRU eviction."""

import random
import time
from collections import OrderedDict, deque
from typing import Any

import attrs
import xxhash

from dotterelpitch.standins.engine_model import EngineSettings, token_count

MAX_CACHE_EVENTS = 10_000


@attrs.frozen
class Prefix:
    """The beginning of a chat, up to and including one message.

    ``digest`` covers all its messages, and ``tokens`` counts the last one alone.
    """

    digest: str
    chat: str
    tokens: int


@attrs.frozen
class CacheEvent:
    """One change of the cache; ``at`` is in seconds of the monotonic clock."""

    number: int
    kind: str
    chat: str
    prefix: str
    at: float


class PrefixCache:
    """LRU cache of the message prefixes that the engine has computed.

    It also records cache events. Some are lost at random, as in an engine whose
    event stream is unreliable; a lost event leaves a gap in the numbers.
    """

    def __init__(self, settings: EngineSettings) -> None:
        self._settings = settings
        self._prefix_by_digest: OrderedDict[str, Prefix] = OrderedDict()
        self._tokens = 0
        self._events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._event_count = 0
        self._random = random.Random(settings.seed)

    def cached_tokens(self, prefixes: list[Prefix]) -> int:
        """Return the number of cached tokens and mark these prefixes as used.

        Counting stops at the first prefix that isn't cached.
        """
        total = 0
        for prefix in prefixes:
            if prefix.digest not in self._prefix_by_digest:
                break
            self._prefix_by_digest.move_to_end(prefix.digest)
            total += prefix.tokens
        return total

    def store(self, prefixes: list[Prefix]) -> None:
        """Cache ``prefixes`` and evict the least recently used above the limit."""
        for prefix in prefixes:
            if prefix.digest not in self._prefix_by_digest:
                self._tokens += prefix.tokens
                self._record_event("stored", prefix)
            self._prefix_by_digest[prefix.digest] = prefix
            self._prefix_by_digest.move_to_end(prefix.digest)
        while self._tokens > self._settings.cache_tokens and self._prefix_by_digest:
            _, evicted = self._prefix_by_digest.popitem(last=False)
            self._tokens -= evicted.tokens
            self._record_event("evicted", evicted)

    def export(self, chat: str) -> list[dict[str, Any]]:
        """Return the cached prefixes of ``chat`` in the form for ``import_chat``."""
        return [
            attrs.asdict(prefix)
            for prefix in self._prefix_by_digest.values()
            if prefix.chat == chat
        ]

    def import_chat(self, prefixes: list[dict[str, Any]]) -> None:
        """Cache the prefixes that another engine has exported."""
        self.store([Prefix(**prefix) for prefix in prefixes])

    def events_after(self, number: int) -> list[CacheEvent]:
        """Return the events after ``number`` that are old enough to be visible.

        An event becomes visible ``cache_event_lag`` seconds after the change. Lost
        events are missing.
        """
        visible_until = time.monotonic() - self._settings.cache_event_lag
        return [e for e in self._events if e.number > number and e.at <= visible_until]

    def _record_event(self, kind: str, prefix: Prefix) -> None:
        self._event_count += 1
        if self._random.random() < self._settings.cache_event_loss:
            return
        self._events.append(
            CacheEvent(
                self._event_count, kind, prefix.chat, prefix.digest, time.monotonic()
            )
        )


def prefixes_of(model: str, chat: str, messages: list[dict[str, Any]]) -> list[Prefix]:
    """Return one prefix per message, whose digest covers all messages up to it."""
    digest = xxhash.xxh3_64(model.encode())
    prefixes = []
    for message in messages:
        text = f"{message.get('role', '')}\x00{message.get('content', '')}\x00"
        digest.update(text.encode())
        prefixes.append(Prefix(digest.hexdigest(), chat, token_count(text)))
    return prefixes
