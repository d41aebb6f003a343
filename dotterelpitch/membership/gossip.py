"""Spreads small versioned facts to every process within a byte budget.

A fact is a digest: a payload that one VM publishes under a topic. A higher
version replaces a lower one. News are pushed along the links as they arrive;
a slow exchange of version vectors, one bucket of keys at a time, repairs what
a lost connection swallowed. The carrier doesn't look into payloads.
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
    """The order in which topics use the byte budget."""

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
    """A fact that the VM ``origin`` published under ``topic``."""

    topic: str
    origin: str
    version: int
    payload: bytes

    @property
    def key(self) -> DigestKey:
        """Topic and origin: what a higher version replaces."""
        return self.topic, self.origin

    @property
    def size(self) -> int:
        """Bytes on the wire, to within a few."""
        return (
            len(self.topic)
            + len(self.origin)
            + len(self.payload)
            + ENTRY_OVERHEAD_BYTES
        )


class DigestStore:
    """The newest digest of each (topic, origin) that this process knows.

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
        """Return the newest digest, or None."""
        return self._digest_by_key.get((topic, origin))

    def by_origin(self, topic: str) -> dict[str, GossipDigest]:
        """Return the digests of ``topic`` by the VM that published them."""
        return {
            digest.origin: digest
            for digest in self._digest_by_key.values()
            if digest.topic == topic
        }

    def all(self) -> list[GossipDigest]:
        """Return every digest."""
        return list(self._digest_by_key.values())

    def publish(self, topic: str, payload: bytes) -> GossipDigest:
        """Return this VM's new digest under ``topic``.

        Versions start from the wall clock in milliseconds, so that those of a
        restarted process are above its former ones. Raises ValueError when
        the payload is larger than MAX_PAYLOAD_BYTES.
        """
        if len(payload) > MAX_PAYLOAD_BYTES:
            raise ValueError(f"payload of {len(payload)} bytes for topic {topic}")
        known = self._digest_by_key.get((topic, self.vm))
        version = int(self._clock.wall() * 1000)
        if known is not None:
            version = max(version, known.version + 1)
        digest = GossipDigest(topic, self.vm, version, payload)
        self._digest_by_key[digest.key] = digest
        return digest

    def merge(self, digest: GossipDigest) -> bool:
        """Take in a digest from a peer; return whether it was news.

        One of our own from before a restart, with a version above ours, is
        answered by publishing the present payload above it.
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
        """Forget the digests of VMs that are not among ``origins``."""
        self._digest_by_key = {
            key: digest
            for key, digest in self._digest_by_key.items()
            if digest.origin in origins or digest.origin == self.vm
        }

    def bucket_count(self) -> int:
        """Return the number of buckets for the present number of keys."""
        buckets = 1
        while len(self._digest_by_key) > KEYS_PER_BUCKET * buckets:
            buckets *= 2
        return buckets

    def versions(self, bucket: int, buckets: int) -> dict[DigestKey, int]:
        """Return the version vector of the keys in one bucket."""
        return {
            key: digest.version
            for key, digest in self._digest_by_key.items()
            if _bucket_of(key, buckets) == bucket
        }

    def newer_than(
        self, versions: Mapping[DigestKey, int], bucket: int, buckets: int
    ) -> list[GossipDigest]:
        """Return the digests of the bucket that are above ``versions``."""
        return [
            digest
            for key, digest in self._digest_by_key.items()
            if _bucket_of(key, buckets) == bucket
            and digest.version > versions.get(key, -1)
        ]


def _bucket_of(key: DigestKey, buckets: int) -> int:
    return xxhash.xxh3_64_intdigest("\x00".join(key).encode()) % buckets


class ByteBudget:
    """A token bucket in bytes."""

    def __init__(
        self, clock: Clock, bytes_per_second: float = DEFAULT_BYTES_PER_SECOND
    ) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second
        self._limit = bytes_per_second * BURST_SECONDS
        self._available = self._limit
        self._filled_at = clock.monotonic()

    def available(self) -> float:
        """Return the bytes that may be sent now; below 0 after an overdraft."""
        now = self._clock.monotonic()
        grown = self._available + (now - self._filled_at) * self._bytes_per_second
        self._available = min(self._limit, grown)
        self._filled_at = now
        return self._available

    def spend(self, size: int) -> None:
        """Take ``size`` bytes out, below zero if need be."""
        self._available = self.available() - size


class Outbox:
    """What one peer has yet to be sent: the newest digest of each key.

    A digest that the peer sends us in the meantime is dropped from here, and a
    newer one takes the place of an older one that still waits.
    """

    def __init__(self) -> None:
        self._digest_by_key: dict[DigestKey, GossipDigest] = {}

    def __len__(self) -> int:
        return len(self._digest_by_key)

    def add(self, digest: GossipDigest) -> None:
        """Queue ``digest`` in the place of an older one."""
        self._digest_by_key[digest.key] = digest

    def acknowledge(self, digest: GossipDigest) -> None:
        """Drop what the peer showed that it knows."""
        waiting = self._digest_by_key.get(digest.key)
        if waiting is not None and waiting.version <= digest.version:
            del self._digest_by_key[digest.key]

    def has_urgent(self) -> bool:
        """Tell whether a digest waits that should leave at once."""
        return any(
            _priority(digest) is Priority.URGENT
            for digest in self._digest_by_key.values()
        )

    def take(self, max_bytes: float, urgent_only: bool = False) -> list[GossipDigest]:
        """Take out the digests that fit, the most urgent and oldest first."""
        waiting = sorted(self._digest_by_key.values(), key=_priority)
        batch: list[GossipDigest] = []
        for digest in waiting:
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
    """Spaces out what this VM publishes, so that the fleet's sum fits the budget.

    Each digest is sent about COPIES_PER_DIGEST times by every process, so one
    origin of ``n`` may publish a share of 1 / (n x copies) of the byte rate. A
    newer payload takes the place of one that waits; urgent topics don't wait.
    """

    def __init__(self, clock: Clock, bytes_per_second: float) -> None:
        self._clock = clock
        self._bytes_per_second = bytes_per_second * PUBLICATION_SHARE
        self._payload_by_topic: dict[str, bytes] = {}
        self._next_at = clock.monotonic()

    def offer(self, topic: str, payload: bytes) -> None:
        """Queue the newest payload of ``topic``."""
        self._payload_by_topic[topic] = payload

    def take_due(self, origins: int) -> list[tuple[str, bytes]]:
        """Take out what may be published now in a fleet of ``origins`` VMs."""
        now = self._clock.monotonic()
        rate = self._bytes_per_second / (COPIES_PER_DIGEST * max(origins, 1))
        taken = []
        for topic, payload in list(self._payload_by_topic.items()):
            urgent = PRIORITY_BY_TOPIC.get(topic) is Priority.URGENT
            if not urgent and now < self._next_at:
                continue
            del self._payload_by_topic[topic]
            taken.append((topic, payload))
            size = len(payload) + len(topic) + ENTRY_OVERHEAD_BYTES
            self._next_at = max(self._next_at, now) + size / rate
        return taken
