"""The requests of operators' commands and their replies, numbers 62 to 69."""

from attrs import field, frozen

from dotterelpitch.membership.model import Vm
from dotterelpitch.protocol.codec import message


@frozen
class DocumentStatus:
    """One document revision in force."""

    service: str
    revision: int


@frozen
class EngineStatus:
    """The state of one engine at its admission owner; ``load`` is in tokens."""

    service: str
    engine: str
    owner: str
    load: float
    running: int
    queued: int
    slots: int


@message(62)
class StatusRequest:
    """Requests the status of a process."""


@message(63)
class StatusReport:
    """The status of a process; ``state`` is starting, ready, or stopping.

    ``engines`` are those that a router owns. ``vms`` is the VM list in use.
    """

    vm: str
    role: str
    state: str
    uptime_seconds: float
    memory_bytes: int
    open_requests: int
    list_revision: int
    documents: list[DocumentStatus] = field(factory=list)
    engines: list[EngineStatus] = field(factory=list)
    vms: list[Vm] = field(factory=list)


@message(64)
class DrainRequest:
    """Requests a planned stop of the process of ``vm``."""

    vm: str


@message(65)
class DrainStarted:
    """The planned stop has begun; ``open_requests`` requests are in progress."""

    vm: str
    open_requests: int


@message(66)
class EventsRequest:
    """Requests the latest ``count`` events of at least ``level``."""

    count: int
    level: int


@frozen
class EventLine:
    """One logged event.

    ``wall`` is in Unix seconds; ``values`` is JSON, which is truncated if it is long.
    """

    wall: float
    number: int
    name: str
    level: int
    values: str


@message(67)
class EventLines:
    """The requested events, oldest first."""

    events: list[EventLine] = field(factory=list)
