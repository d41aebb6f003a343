"""What gateways tell one another: load, crash suspects, and newer records.

Ages are in milliseconds and not times, since the VMs' clocks differ and jump.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message


@frozen
class EngineCount:
    """How many requests the sender has in flight at an engine."""

    engine: str
    count: int


@frozen
class CrashReport:
    """An engine's death with a request in flight, named by its fingerprint."""

    fingerprint: str
    engine: str
    engine_run: str
    age_ms: int


@frozen
class ClearedReport:
    """A suspect has completed on an engine."""

    fingerprint: str
    age_ms: int


@frozen
class StoredRecord:
    """One record of the platform's store, as it was read."""

    key: str
    value: bytes


@message(70)
class FollowGateway:
    """Asks a gateway for its digests, one after the other, on this stream."""

    vm: str
    address: str


@message(71)
class GatewayDigest:
    """All that one gateway tells its peers; a newer one replaces an older one.

    ``peers`` are the addresses of the gateways that the sender has heard.
    """

    vm: str
    failure_domain: str
    address: str
    config_version: int
    store_revision: int
    store_age_ms: int
    peers: list[str] = field(factory=list)
    counts: list[EngineCount] = field(factory=list)
    crashes: list[CrashReport] = field(factory=list)
    cleared: list[ClearedReport] = field(factory=list)


@message(72)
class FetchRecords:
    """Asks for the changes after a revision, and for the config if it is newer."""

    config_version: int
    store_revision: int


@message(73)
class RecordBatch:
    """What the sender knows, as of a revision of the store.

    Either all records (``is_full``) or the changes after the asked revision,
    with the keys that were deleted.
    """

    store_revision: int
    age_ms: int
    is_full: bool
    records: list[StoredRecord] = field(factory=list)
    deleted: list[str] = field(factory=list)
