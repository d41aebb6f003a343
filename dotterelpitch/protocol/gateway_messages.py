"""The messages between gateways: load, crash suspects, and store records.

They carry ages in milliseconds instead of timestamps, because the clocks of the VMs
differ and may jump.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message


@frozen
class FleetVm:
    """A gateway as it identifies itself to its peers.

    ``address`` is where its peers connect to it. ``link_mbps`` is the bandwidth of
    its network link, by which relays are selected.
    """

    name: str
    failure_domain: str
    address: str
    link_mbps: int


@frozen
class CrashReport:
    """An engine crash with a request in flight.

    ``fingerprint`` identifies the content of the request, or, behind a prefix, a
    part of its prompt. ``was_running`` is whether the engine had been sending the
    response for a while.
    """

    fingerprint: str
    engine: str
    engine_run: str
    age_ms: int
    was_running: bool = False


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

    relay: str
    config_version: int
    store_revision: int
    store_age_ms: int
    count_by_engine: dict[str, int] = field(factory=dict)
    crashes: list[CrashReport] = field(factory=list)
    cleared: list[ClearanceReport] = field(factory=list)


@message(77)
class FleetList:
    """The gateways that the sender reports as running; replaces its previous list."""

    vms: list[FleetVm] = field(factory=list)


@message(72)
class FetchRecords:
    """Requests the changes after a store revision, and the config if it is newer."""

    config_version: int
    store_revision: int


@message(73)
class RecordBatch:
    """The sender's store records as of ``store_revision``.

    Holds either all records (``is_full``) or the changes after the requested
    revision, with the deleted keys. ``may_be_incomplete`` is set when engines may be
    missing from all records only because the store was unavailable until just now.
    """

    store_revision: int
    age_ms: int
    is_full: bool
    may_be_incomplete: bool
    records: list[StoredRecord] = field(factory=list)
    deleted: list[str] = field(factory=list)
