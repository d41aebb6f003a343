"""Gossips small versioned digests to every process within a byte budget.

A digest is a payload that one VM publishes under a topic. A higher version
replaces a lower one. New digests are pushed along the links as they arrive. A
slow anti-entropy exchange of version vectors, one bucket of keys at a time,
recovers digests that were lost with a connection. Payloads are opaque here.
"""

from collections.abc import Collection, Iterable, Mapping
from enum import IntEnum

import xxhash
from attrs import frozen

from dotterelpitch.clock import Clock

MAX_PAYLOAD_BYTES = 4096
KEYS_PER_BUCKET = 32
ENTRY_OVERHEAD_BYTES = 14
DEFAULT_BYTES_PER_SECOND = 2500.0
BURST_SECONDS = 2.0
PUBLICATION_SHARE = 0.6
COPIES_PER_DIGEST = 2.0


class Priority(IntEnum):
    """The order in which topics may use the byte budget."""

    URGENT = 0
    NORMAL = 1
    BULK = 2


PRIORITY_BY_TOPIC = {
    "links": Priority.URGENT,
    "suspects": Priority.URGENT,
    "health": Priority.NORMAL,
    "usage": Priority.NORMAL,
    "load": Priority.BULK,
}

DigestKey = tuple[str, str]


@frozen
class GossipDigest:
    """A payload that the VM ``origin`` published under ``topic``."""

    topic: str
    origin: str
    version: int
    payload: bytes

    @property
    def key(self) -> DigestKey:
        """Topic and origin, which identify a digest across versions."""
        return self.topic, self.origin

    @property
    def size(self) -> int:
        """The approximate size on the wire, in bytes."""
        return (
            len(self.topic)
            + len(self.origin)
            + len(self.payload)
            + ENTRY_OVERHEAD_BYTES
        )


class DigestStore:
    """The newest digest of each (topic, origin) that this process has.

    >>> from dotterelpitch.clock import ManualClock
    >>> store = DigestStore("vm-1", ManualClock())
    >>> first = store.publish("load", b"a")
    >>> store.merge(first), store.publish("load", b"b").version > first.version
    (False, True)
    """

    def __init__(self, vm: str, clock: Clock) -> None:
        self.vm = vm
        self._clock = clock
        self._digest_by_key: dict[DigestKey, GossipDigest] = {}

    def __len__(self) -> int:
        return len(self._digest_by_key)

    def get(self, topic: str, origin: str) -> GossipDigest | None:
        """Return the newest digest of ``origin`` under ``topic``, or None."""
        return self._digest_by_key.get((topic, origin))

    def by_origin(self, topic: str) -> dict[str, GossipDigest]:
        """Return the digests of ``topic`` by the VM that published them."""
        return {
            digest.origin: digest
            for digest in self._digest_by_key.values()
            if digest.topic == topic
        }

    def all(self) -> list[GossipDigest]:
        """Return all digests."""
        return list(self._digest_by_key.values())

    def publish(self, topic: str, payload: bytes) -> GossipDigest:
        """Store and return this VM's next digest under ``topic``.

        Versions start from the wall clock in milliseconds, so that a restarted
        process continues above its earlier versions. Raises ValueError if the
        payload is larger than MAX_PAYLOAD_BYTES.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(
                f"payload of {len(payload)} bytes for topic {topic!r} is larger "
                f"than {MAX_PAYLOAD_BYTES}"
            )
        known = self._digest_by_key.get((topic, self.vm))
        version = int(self._clock.wall() * 1000)
        if known is not None:
            version = max(version, known.version + 1)
        digest = GossipDigest(topic, self.vm, version, payload)
        self._digest_by_key[digest.key] = digest
        return digest

    def merge(self, digest: GossipDigest) -> bool:
        """Store a digest from a peer; return False if it isn't newer.

        A digest of this VM from before a restart may have a higher version than
        the current one. The current payload is then stored under the next
        version above it.
        """
        known = self._digest_by_key.get(digest.key)
        if known is not None and known.version >= digest.version:
            return False
        if digest.origin == self.vm and known is not None:
            digest = GossipDigest(
                known.topic, known.origin, digest.version + 1, known.payload
            )
        self._digest_by_key[digest.key] = digest
        return True

    def retain(self, origins: Collection[str]) -> None:
        """Remove the digests of other VMs that aren't in ``origins``."""
        self._digest_by_key = {
            key: digest
            for key, digest in self._digest_by_key.items()
            if digest.origin in origins or digest.origin == self.vm
        }

    def bucket_count(self) -> int:
        """Return the number of buckets for the current number of keys."""
        buckets = 1
        while len(self._digest_by_key) > KEYS_PER_BUCKET * buckets:
            buckets *= 2
        return buckets

    def versions(self, bucket: int, buckets: int) -> dict[DigestKey, int]:
        """Return the version vector of one of ``buckets`` buckets."""
        return {
            key: digest.version
            for key, digest in self._digest_by_key.items()
            if _bucket_of(key, buckets) == bucket
        }

    def newer_than(
        self, versions: Mapping[DigestKey, int], bucket: int, buckets: int
    ) -> list[GossipDigest]:
        """Return the digests of the bucket that are newer than ``versions``."""
        return [
            digest
            for key, digest in self._digest_by_key.items()
            if _bucket_of(key, buckets) == bucket
            and digest.version > versions.get(key, -1)
        ]


def _bucket_of(key: DigestKey, buckets: int) -> int:
    return xxhash.xxh3_64_intdigest("\x00".join(key).encode()) % buckets


class ByteBudget:
    """A token bucket that limits bytes sent, with an overdraft."""

    def __init__(
        self, clock: Clock, bytes_per_second: float = DEFAULT_BYTES_PER_SECOND
    ) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._limit = bytes_per_second * BURST_SECONDS
        self._available = self._limit
        self._refilled_at = clock.monotonic()

    def available(self) -> float:
        """Return the bytes that may be sent now; negative after an overdraft."""
        now = self._clock.monotonic()
        refilled = self._available + (now - self._refilled_at) * self._bytes_per_second
        self._available = min(self._limit, refilled)
        self._refilled_at = now
        return self._available

    def spend(self, size: int) -> None:
        """Take ``size`` bytes out of the budget, even if fewer are available."""
        self._available = self.available() - size


class Outbox:
    """The digests queued for one peer: the newest of each key.

    A newer digest replaces an older one in the queue. A digest that the peer has
    sent itself in the meantime is removed from the queue.
    """

    def __init__(self) -> None:
        self._digest_by_key: dict[DigestKey, GossipDigest] = {}

    def __len__(self) -> int:
        return len(self._digest_by_key)

    def add(self, digest: GossipDigest) -> None:
        """Queue ``digest``, replacing one with the same key."""
        self._digest_by_key[digest.key] = digest

    def acknowledge(self, digest: GossipDigest) -> None:
        """Remove the queued digest if the peer has sent ``digest`` or a newer one."""
        queued = self._digest_by_key.get(digest.key)
        if queued is not None and queued.version <= digest.version:
            del self._digest_by_key[digest.key]

    def has_urgent(self) -> bool:
        """Return whether an urgent digest is queued."""
        return any(
            _priority(digest) is Priority.URGENT
            for digest in self._digest_by_key.values()
        )

    def take(self, max_bytes: float, urgent_only: bool = False) -> list[GossipDigest]:
        """Remove and return digests of up to ``max_bytes``, by priority and age.

        A digest that doesn't fit ends the batch, even if a later one would.
        """
        queued = sorted(self._digest_by_key.values(), key=_priority)
        batch: list[GossipDigest] = []
        for digest in queued:
            if urgent_only and _priority(digest) is not Priority.URGENT:
                break
            if digest.size > max_bytes:
                break
            max_bytes -= digest.size
            batch.append(digest)
            del self._digest_by_key[digest.key]
        return batch


def _priority(digest: GossipDigest) -> Priority:
    return PRIORITY_BY_TOPIC.get(digest.topic, Priority.NORMAL)


def broadcast(digests: Iterable[GossipDigest], outboxes: Iterable[Outbox]) -> None:
    """Queue ``digests`` in each of ``outboxes``."""
    batch = list(digests)
    for outbox in outboxes:
        for digest in batch:
            outbox.add(digest)


class PublicationPacer:
    """Rate-limits what this VM publishes, so that the fleet stays within its budget.

    PUBLICATION_SHARE of the byte rate is for publications. Each process sends each
    digest about COPIES_PER_DIGEST times, so each of ``n`` origins may publish
    1 / (n x copies) of that. A newer payload replaces a queued one of the same
    topic; urgent topics aren't delayed.
    """

    def __init__(self, clock: Clock, bytes_per_second: float) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second * PUBLICATION_SHARE
        self._payload_by_topic: dict[str, bytes] = {}
        self._next_publication_at = clock.monotonic()

    def offer(self, topic: str, payload: bytes) -> None:
        """Queue ``payload``, replacing a queued one of the same topic."""
        self._payload_by_topic[topic] = payload

    def take_due(self, origins: int) -> list[tuple[str, bytes]]:
        """Remove and return what may be published now in a fleet of ``origins`` VMs.

        Returns pairs of topic and payload.
        """
        now = self._clock.monotonic()
        rate = self._bytes_per_second / (COPIES_PER_DIGEST * max(origins, 1))
        due = []
        for topic, payload in list(self._payload_by_topic.items()):
            urgent = PRIORITY_BY_TOPIC.get(topic) is Priority.URGENT
            if not urgent and now < self._next_publication_at:
                continue
            del self._payload_by_topic[topic]
            due.append((topic, payload))
            size = len(payload) + len(topic) + ENTRY_OVERHEAD_BYTES
            self._next_publication_at = (
                max(self._next_publication_at, now) + size / rate
            )
        return due
