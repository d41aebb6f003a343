"""Which engine version began each stream, as all VMs know it for a while.

What two versions of an engine write doesn't fit together, so a stream may go on only at
the version that began it, at whichever VM its caller takes it up again. VMs tell one
another of the streams that they begin, eight bytes each.
"""

import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator

import xxhash
from attrs import define, field, frozen

from dotterelpitch.clock import Clock
from dotterelpitch.routing.fleet_counts import OWN

# For so long after its first event a stream can be taken up again at any VM.
RETENTION_SECONDS = 30.0
# The streams begun longest ago are forgotten first beyond this number.
MAX_STREAMS = 200_000
# A new peer is told of about so many earlier streams at a time, so that those of 30 s
# don't delay everything else on the links of a large fleet.
MAX_EARLIER_STREAMS = 2_000
HASH_BYTES = 8


@frozen
class StreamOrigin:
    """The service and the software version of the engine that began a stream."""

    service: str
    version: str


@frozen
class _Batch:
    """Streams that ``source`` has told of at the same time."""

    number: int
    at: float
    source: str
    origin: StreamOrigin
    stream_hashes: tuple[int, ...]


@define
class ToldStreams:
    """What a peer was told: all up to batch ``until``, but the first ``earlier`` ones.

    ``until`` is None, and nothing is told, before the first time.
    """

    until: int | None = None
    earlier: int = 0


@define
class StreamOrigins:
    """The origins of recent streams, by a hash of account and request id.

    The request is the attempt of the caller that brought the first event.

    >>> from dotterelpitch.clock import ManualClock
    >>> origins = StreamOrigins(ManualClock())
    >>> origins.record("packers", "r1", StreamOrigin("chat", "v1"))
    >>> origins.find("packers", "r1")
    StreamOrigin(service='chat', version='v1')
    >>> origins.find("others", "r1") is None
    True
    """

    _clock: Clock
    _origin_by_hash: dict[int, StreamOrigin] = field(factory=dict)
    _batches: deque[_Batch] = field(factory=deque)
    _unsent_by_origin: dict[StreamOrigin, list[int]] = field(factory=dict)
    _last_number: int = 0

    def record(self, account: str, request_id: str, origin: StreamOrigin) -> None:
        """Record a stream that has begun here."""
        stream_hash = _hash(account, request_id)
        self._unsent_by_origin.setdefault(origin, []).append(stream_hash)
        self._origin_by_hash[stream_hash] = origin

    def find(self, account: str, request_id: str) -> StreamOrigin | None:
        """Return what began a stream, or None if no VM has told of it."""
        return self._origin_by_hash.get(_hash(account, request_id))

    def merge(self, source: str, origin: StreamOrigin, packed_hashes: bytes) -> None:
        """Add streams that a peer has told of; those known already are left out."""
        new = [
            stream_hash
            for stream_hash in unpack_hashes(packed_hashes)
            if stream_hash not in self._origin_by_hash
        ]
        if new:
            self._add(source, origin, new)

    def news_for(
        self, told: ToldStreams, includes: Callable[[str], bool]
    ) -> list[tuple[StreamOrigin, bytes]]:
        """Return what a peer must be told now, and mark it as told.

        That is all that the included sources have reported since it was told last. A
        peer that is new is told of the earlier streams of all sources as well, the
        newest first and ``MAX_EARLIER_STREAMS`` at a time.
        """
        self._flush()
        if told.until is None:
            told.until = told.earlier = self._last_number
        batches = [batch for batch in self._after(told.until) if includes(batch.source)]
        told.until = self._last_number
        batches += self._earlier(told)
        hashes_by_origin: dict[StreamOrigin, list[int]] = {}
        for batch in batches:
            hashes_by_origin.setdefault(batch.origin, []).extend(batch.stream_hashes)
        return [(o, pack_hashes(hashes)) for o, hashes in hashes_by_origin.items()]

    def _after(self, number: int) -> Iterator[_Batch]:
        """Yield the batches after ``number``, the newest first."""
        for batch in reversed(self._batches):
            if batch.number <= number:
                return
            yield batch

    def _earlier(self, told: ToldStreams) -> list[_Batch]:
        """Return the next earlier batches, of all sources, and mark them as told."""
        batches: list[_Batch] = []
        if told.earlier == 0:
            return batches
        count = 0
        for batch in self._after(0):
            if batch.number > told.earlier:
                continue
            if count >= MAX_EARLIER_STREAMS:
                told.earlier = batch.number
                return batches
            batches.append(batch)
            count += len(batch.stream_hashes)
        told.earlier = 0
        return batches

    def _flush(self) -> None:
        for origin, stream_hashes in self._unsent_by_origin.items():
            self._add(OWN, origin, stream_hashes)
        self._unsent_by_origin.clear()

    def _add(
        self, source: str, origin: StreamOrigin, stream_hashes: Iterable[int]
    ) -> None:
        now = self._clock.monotonic()
        self._last_number += 1
        batch = _Batch(self._last_number, now, source, origin, tuple(stream_hashes))
        self._batches.append(batch)
        self._origin_by_hash.update(dict.fromkeys(batch.stream_hashes, origin))
        self._expire(now)

    def _expire(self, now: float) -> None:
        oldest = now - RETENTION_SECONDS
        while self._batches and (
            self._batches[0].at < oldest or len(self._origin_by_hash) > MAX_STREAMS
        ):
            for stream_hash in self._batches.popleft().stream_hashes:
                self._origin_by_hash.pop(stream_hash, None)


def pack_hashes(hashes: list[int]) -> bytes:
    """Return the hashes in ``HASH_BYTES`` each."""
    return struct.pack(f">{len(hashes)}Q", *hashes)


def unpack_hashes(packed: bytes) -> tuple[int, ...]:
    """Return the hashes of ``pack_hashes``; an incomplete last one is left out."""
    count = len(packed) // HASH_BYTES
    return struct.unpack_from(f">{count}Q", packed)


def _hash(account: str, request_id: str) -> int:
    digest = xxhash.xxh3_64(account.encode())
    digest.update(b"\0")
    digest.update(request_id.encode("utf-8", "surrogateescape"))
    return digest.intdigest()
