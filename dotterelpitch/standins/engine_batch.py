"""Continuous batching of the engine stand-in: slots, prefill, and decode steps."""

import asyncio
import heapq
import itertools
import time
from collections import deque

import attrs

from dotterelpitch.standins.engine_cache import Prefix, PrefixCache
from dotterelpitch.standins.engine_model import EngineSettings

MAX_LOAD_REPORTS = 10_000


class Generation:
    """Progress of one answer, which may outlive the connection of its request.

    ``produced`` counts the tokens generated so far and starts at ``first_token``,
    which is above 0 for a stream that continues one of another engine.
    """

    def __init__(
        self,
        request_id: str,
        digest: str,
        prefixes: list[Prefix],
        max_tokens: int,
        first_token: int,
        priority: int,
    ) -> None:
        self.request_id = request_id
        self.digest = digest
        self.prefixes = prefixes
        self.max_tokens = max_tokens
        self.produced = first_token
        self.priority = priority
        self.cached_tokens = 0
        self.cancelled = False
        self.running = False
        self.readers = 0
        self._progress = asyncio.Event()

    @property
    def prompt_tokens(self) -> int:
        """Number of tokens of the complete prompt."""
        return sum(prefix.tokens for prefix in self.prefixes)

    @property
    def done(self) -> bool:
        """Whether no more tokens will be generated."""
        return self.cancelled or self.produced >= self.max_tokens

    def advance(self) -> None:
        """Generate one more token."""
        self.produced += 1
        self.notify_readers()

    def notify_readers(self) -> None:
        """Wake all readers that wait for progress."""
        self._progress.set()

    async def wait_beyond(self, index: int) -> None:
        """Wait until more than ``index`` tokens exist or the generation is done."""
        while self.produced <= index and not self.done:
            self._progress.clear()
            await self._progress.wait()


@attrs.frozen
class LoadReport:
    """Load at one moment; ``at`` is in seconds of the monotonic clock.

    ``tokens`` is the number of tokens that running generations still have to
    generate.
    """

    at: float
    in_flight: int
    queued: int
    tokens: int


@attrs.define
class BatchStats:
    """Counters since the start of the engine."""

    max_in_flight: int = 0
    max_queued: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    cache_hits: int = 0
    started: int = 0
    completed: int = 0
    cancelled: int = 0


class Batch:
    """Runs up to ``concurrency`` generations; the others queue by priority.

    A lower priority number runs first, and generations of the same priority run
    in order of submission.
    """

    def __init__(self, settings: EngineSettings, cache: PrefixCache) -> None:
        self.stats = BatchStats()
        self._settings = settings
        self._cache = cache
        self._queue: list[tuple[int, int, Generation]] = []
        self._submission_numbers = itertools.count()
        self._running: set[Generation] = set()
        self._decoding: set[Generation] = set()
        self._has_work = asyncio.Event()
        self._load_reports: deque[LoadReport] = deque(maxlen=MAX_LOAD_REPORTS)
        self._record_load()

    def submit(self, generation: Generation) -> None:
        """Start ``generation`` now, or queue it until a slot is free."""
        item = (generation.priority, next(self._submission_numbers), generation)
        heapq.heappush(self._queue, item)
        self._start_queued()
        self.stats.max_queued = max(self.stats.max_queued, len(self._queue))
        self._record_load()

    def cancel(self, generation: Generation) -> bool:
        """Stop ``generation`` and return whether it was still queued or running."""
        if generation.done:
            return False
        generation.cancelled = True
        generation.notify_readers()
        self.stats.cancelled += 1
        self._release(generation)
        return True

    def lagging_load(self) -> LoadReport:
        """Return the load of ``load_lag`` seconds ago, as in a delayed report."""
        visible_until = time.monotonic() - self._settings.load_lag
        for report in reversed(self._load_reports):
            if report.at <= visible_until:
                return report
        return self._load_reports[0]

    def current_load(self) -> LoadReport:
        """Return the current load."""
        return self._load_reports[-1]

    async def run(self) -> None:
        """Generate a token for each decoding generation at every decode step.

        The task runs until it is cancelled.
        """
        loop = asyncio.get_running_loop()
        next_step = loop.time()
        while True:
            if not self._decoding:
                self._has_work.clear()
                await self._has_work.wait()
                next_step = loop.time()
            next_step = max(next_step + self._step_seconds(), loop.time())
            await asyncio.sleep(next_step - loop.time())
            for generation in list(self._decoding):
                self._advance(generation)

    def _step_seconds(self) -> float:
        others = max(0, len(self._running) - 1)
        growth = 1.0 + self._settings.batch_slowdown * others
        return self._settings.decode_step * growth

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self._settings.concurrency:
            _, _, generation = heapq.heappop(self._queue)
            if not generation.cancelled:
                self._start_generation(generation)

    def _start_generation(self, generation: Generation) -> None:
        generation.running = True
        self._running.add(generation)
        stats = self.stats
        stats.started += 1
        stats.max_in_flight = max(stats.max_in_flight, len(self._running))
        cached = self._cache.cached_tokens(generation.prefixes)
        generation.cached_tokens = cached
        stats.prompt_tokens += generation.prompt_tokens
        stats.cached_tokens += cached
        stats.cache_hits += cached > 0
        uncached = generation.prompt_tokens - cached
        seconds = self._settings.prefill_per_token * (
            uncached + cached * self._settings.warm_ratio
        )
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._end_prefill, generation)

    def _end_prefill(self, generation: Generation) -> None:
        if generation.done:
            self._release(generation)
            return
        self._cache.store(generation.prefixes)
        self._decoding.add(generation)
        self._has_work.set()
        self._advance(generation)

    def _advance(self, generation: Generation) -> None:
        generation.advance()
        self.stats.tokens += 1
        if generation.done:
            self.stats.completed += 1
            self._release(generation)

    def _release(self, generation: Generation) -> None:
        self._decoding.discard(generation)
        self._running.discard(generation)
        self._start_queued()
        self._record_load()

    def _record_load(self) -> None:
        tokens = sum(g.max_tokens - g.produced for g in self._running)
        report = LoadReport(
            time.monotonic(), len(self._running), len(self._queue), tokens
        )
        self._load_reports.append(report)
