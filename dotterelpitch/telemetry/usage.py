"""Reads the prompt cache usage that an engine reports at the end of a response."""

import re

from dotterelpitch.telemetry.metrics import CacheReuse, Metrics

MAX_TAIL_BYTES = 1024

_PROMPT_TOKENS = re.compile(rb'"prompt_tokens":\s*(\d+)')
_CACHED_TOKENS = re.compile(rb'"cached_tokens":\s*(\d+)')


class UsageReader:
    """Buffers the end of a response, in which engines report their token usage.

    >>> reader = UsageReader()
    >>> reader.feed(b'"usage": {"prompt_tokens": 90, ')
    >>> reader.feed(b'"prompt_tokens_details": {"cached_tokens": 80}}')
    >>> reader.prompt_tokens, reader.cached_tokens
    (90, 80)
    """

    def __init__(self) -> None:
        self._tail = b""

    def feed(self, chunk: bytes) -> None:
        """Add the next chunk of the response."""
        self._tail = (self._tail + chunk[-MAX_TAIL_BYTES:])[-MAX_TAIL_BYTES:]

    @property
    def prompt_tokens(self) -> int | None:
        """The size of the prompt in tokens, None when not reported."""
        return _last_number(_PROMPT_TOKENS, self._tail)

    @property
    def cached_tokens(self) -> int | None:
        """The number of prompt tokens found in the cache, None when not reported."""
        return _last_number(_CACHED_TOKENS, self._tail)

    def report(self, metrics: Metrics, service: str) -> None:
        """Count the response in ``metrics`` if the engine reported cache usage."""
        if self.prompt_tokens is None or self.cached_tokens is None:
            return
        reuse = CacheReuse.HIT if self.cached_tokens else CacheReuse.MISS
        metrics.chat_answered(service, reuse, self.prompt_tokens, self.cached_tokens)


def _last_number(pattern: re.Pattern[bytes], tail: bytes) -> int | None:
    found = pattern.findall(tail)
    return int(found[-1]) if found else None
