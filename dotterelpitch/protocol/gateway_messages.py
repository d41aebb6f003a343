"""The messages between gateways: load, crash suspects, and store records.

They carry ages in milliseconds instead of timestamps, because the clocks of the VMs
differ and may jump.
"""

from typing import ClassVar

from attrs import field, frozen

from dotterelpitch.protocol.codec import message

# The first link version whose gateways understand RateLimitDigest.
RATE_LIMITS_LINK_VERSION = 1
# The first one whose gateways understand StreamOriginDigest.
STREAM_ORIGINS_LINK_VERSION = 2
# The first one whose gateways understand VersionHistoryDigest.
VERSION_HISTORY_LINK_VERSION = 3
# The first one whose gateways understand LeavingEngineDigest.
LEAVING_ENGINES_LINK_VERSION = 4
# The first one whose gateways know that revisions of the store belong to an era.
STORE_ERA_LINK_VERSION = 5
# The first one whose gateways tell whether they reach engines.
ENGINE_CONTACT_LINK_VERSION = 6
# The first one whose gateways pass on which failure domains are evacuated.
EVACUATIONS_LINK_VERSION = 7
# The first one whose gateways understand EngineSpeedDigest.
ENGINE_SPEEDS_LINK_VERSION = 8
# The first one whose gateways understand DismissalDigest.
DISMISSALS_LINK_VERSION = 9
# The first one whose gateways tell how old their own last read of the store is.
READ_AGE_LINK_VERSION = 10
LINK_VERSION = READ_AGE_LINK_VERSION
"""The link version of this program."""


@frozen
class FleetVm:
    """A gateway as it identifies itself to its peers.

    ``address`` is where its peers connect to it. ``link_mbps`` is the bandwidth of
    its network link, by which relays are selected. ``link_version`` tells which
    messages it understands on a link; gateways that don't send it have 0.
    """

    name: str
    failure_domain: str
    address: str
    link_mbps: int
    link_version: int = 0


@frozen
class CrashReport:
    """An engine crash with a request in flight.

    ``fingerprint`` identifies the content of the request, or, behind a prefix, a
    part of its prompt. ``was_running`` is whether the engine had been sending the
    response for a while. ``is_silence`` is whether nothing but the engine's silence
    shows that it has ended; gateways that don't send it have False.
    """

    fingerprint: str
    engine: str
    engine_run: str
    age_ms: int
    was_running: bool = False
    is_silence: bool = False


@frozen
class ClearanceReport:
    """A request that was suspected of crashing engines has completed on one."""

    fingerprint: str
    age_ms: int


@frozen
class StoredRecord:
    """One record of the platform's store."""

    key: str
    compressed_value: bytes


@message(74)
class OpenLink:
    """Opens a link between two gateways; both sides then send digests on it."""

    sender: FleetVm


@message(75)
class LinkOpened:
    """Reply to OpenLink."""

    sender: FleetVm


@message(76)
class GatewayDigest:
    """The state that a gateway reports to a peer; replaces the previous digest.

    ``relay`` is the VM that forwards the sender's counts to the fleet; a relay names
    itself. ``count_by_engine`` holds the requests in flight that the receiver gets
    from no other link. ``crashes`` are those that weren't sent on this link before.
    """

    store_era: ClassVar[int] = 0
    read_age_ms: ClassVar[int | None] = None
    relay: str
    config_version: int
    store_revision: int
    store_age_ms: int
    count_by_engine: dict[str, int] = field(factory=dict)
    crashes: list[CrashReport] = field(factory=list)
    cleared: list[ClearanceReport] = field(factory=list)


@message(82)
class GatewayDigestOfEra(GatewayDigest):
    """A digest that names the era of the store's revision."""

    store_era: int = 0


@message(91)
class GatewayDigestOfReader(GatewayDigestOfEra):
    """A digest that tells apart what the sender has read and what it has heard.

    ``store_age_ms`` is how long ago the store last confirmed the state to anybody, and
    ``read_age_ms`` how long ago it did to the sender; a large number if it doesn't read
    or can't.
    """

    read_age_ms: int = 0


@frozen
class RateLimitReport:
    """The rate limit that the run of an engine named that began at ``started_ms``.

    ``named_age_ms`` is how long ago it did last, and ``absent_age_ms`` how long ago a
    response named none, or -1.
    """

    engine: str
    started_ms: int
    per_second: float
    named_age_ms: int
    absent_age_ms: int


@frozen
class EngineCounts:
    """What has been counted of an engine with a rate limit since the last digest.

    ``wanted_first`` are the requests that want it before all other engines,
    ``wanted_next`` those that another engine has turned away, and ``sent`` those sent
    to it.
    """

    engine: str
    wanted_first: int = 0
    wanted_next: int = 0
    sent: int = 0


@frozen
class ServiceCount:
    """The requests of a priority to a service since the last digest."""

    service: str
    priority: int
    count: int


@message(78)
class RateLimitDigest:
    """Rate limits that the receiver lacks, and counts that it gets on no other link.

    ``contact_share`` is the share of the fleet that the sender exchanges digests with.
    """

    limits: list[RateLimitReport] = field(factory=list)
    engine_counts: list[EngineCounts] = field(factory=list)
    service_counts: list[ServiceCount] = field(factory=list)
    contact_share: float = 1.0


@frozen
class StreamsBegun:
    """Streams that a software version of a service's engines has begun.

    ``packed_hashes`` holds a hash of account and request id for each, 8 bytes long.
    """

    service: str
    version: str
    packed_hashes: bytes


@message(79)
class StreamOriginDigest:
    """Streams that have begun since the last digest; all recent ones in the first."""

    begun: list[StreamsBegun] = field(factory=list)


@frozen
class VersionListed:
    """A version of a service's engines that was listed until ``age_ms`` ago."""

    service: str
    version: str
    age_ms: int


@message(80)
class VersionHistoryDigest:
    """The versions listed lately; none of the last ``known_for_ms`` is missing."""

    known_for_ms: int
    listed: list[VersionListed] = field(factory=list)


@frozen
class LeavingEngine:
    """The run of an engine that began at ``started_ms`` and has said that it leaves."""

    engine: str
    started_ms: int


@message(81)
class LeavingEngineDigest:
    """Engines that leave by their own word, of which the receiver wasn't told yet."""

    engines: list[LeavingEngine] = field(factory=list)


@message(85)
class EngineContactDigest:
    """Whether the sender reaches engines."""

    reaches_engines: bool


@frozen
class EngineSpeed:
    """How long an engine took, in ``count`` samples since the last digest.

    ``log_sum_milli`` is the sum over the samples of the natural logarithm of the time
    against the usual one, in thousandths.
    """

    engine: str
    count: int
    log_sum_milli: int


@message(89)
class EngineSpeedDigest:
    """Samples of the engines' speeds that the receiver gets on no other link."""

    engines: list[EngineSpeed] = field(factory=list)


@frozen
class RunDismissed:
    """A run of an engine that counted as ended by its silence and has gone on."""

    engine: str
    engine_run: str
    age_ms: int


@message(90)
class DismissalDigest:
    """Runs that have gone on, of which the receiver wasn't told on this link yet."""

    runs: list[RunDismissed] = field(factory=list)


@message(77)
class FleetList:
    """The gateways that the sender reports as running; replaces its previous list."""

    vms: list[FleetVm] = field(factory=list)


@message(72)
class FetchRecords:
    """Requests the changes after a store revision, and the config if it is newer."""

    store_era: ClassVar[int] = 0
    config_version: int
    store_revision: int


@message(83)
class FetchRecordsOfEra(FetchRecords):
    """A request that names the era of the store's revision."""

    store_era: int = 0


@message(73)
class RecordBatch:
    """The sender's store records as of ``store_revision``.

    Holds either all records (``is_full``) or the changes after the requested
    revision, with the deleted keys. ``may_be_incomplete`` is set when engines may be
    missing from all records only because the store was unavailable until just now.
    """

    store_era: ClassVar[int] = 0
    store_revision: int
    age_ms: int
    is_full: bool
    may_be_incomplete: bool
    records: list[StoredRecord] = field(factory=list)
    deleted: list[str] = field(factory=list)


@message(84)
class RecordBatchOfEra(RecordBatch):
    """Records with the era of the store's revision."""

    store_era: int = 0
