"""What gateways tell one another: load, crash suspects, and newer records.

Ages are in milliseconds and not times, since the VMs' clocks differ and jump.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message


@frozen
class FleetVm:
    """A gateway as it names itself; ``address`` is where its peers dial it.

    ``link_mbps`` is the width of its network link, by which relays are chosen.
    """

    name: str
    failure_domain: str
    address: str
    link_mbps: int


@frozen
class CrashReport:
    """An engine's death with a request in flight, named by its fingerprint."""

    fingerprint: str
    engine: str
    engine_run: str
    age_ms: int


@frozen
class ClearanceReport:
    """A suspect has completed on an engine."""

    fingerprint: str
    age_ms: int


@frozen
class StoredRecord:
    """One record of the platform's store; ``compressed_value`` is compressed."""

    key: str
    compressed_value: bytes


@message(74)
class OpenLink:
    """The first message of a link, on which both sides then send digests."""

    sender: FleetVm


@message(75)
class LinkOpened:
    """The answer to OpenLink."""

    sender: FleetVm


@message(76)
class GatewayDigest:
    """What one gateway tells a peer now; a newer one replaces an older one.

    ``relay`` is the VM through which the sender's counts reach the fleet; a
    relay names itself. ``count_by_engine`` holds the requests that the receiver
    doesn't learn of in another way. Crashes are those that weren't sent on this
    link before.
    """

    relay: str
    config_version: int
    store_revision: int
    store_age_ms: int
    count_by_engine: dict[str, int] = field(factory=dict)
    crashes: list[CrashReport] = field(factory=list)
    cleared: list[ClearanceReport] = field(factory=list)


@message(77)
class FleetList:
    """The gateways that the sender answers for; replaces its last list."""

    vms: list[FleetVm] = field(factory=list)


@message(72)
class FetchRecords:
    """Asks for the changes after a revision, and for the config if it is newer."""

    config_version: int
    store_revision: int


@message(73)
class RecordBatch:
    """What the sender knows, as of a revision of the store.

    Either all records (``is_full``) or the changes after the asked revision,
    with the keys that were deleted. ``may_be_incomplete`` says that engines may be
    missing from all records only because the store has just come back.
    """

    store_revision: int
    age_ms: int
    is_full: bool
    may_be_incomplete: bool
    records: list[StoredRecord] = field(factory=list)
    deleted: list[str] = field(factory=list)
