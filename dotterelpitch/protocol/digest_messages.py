"""The digests that routers gossip: load, usage, health, and crashes.

Each digest holds the complete state of one router for its topic. A newer digest
replaces an older one, so that the loss of one is harmless.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message
from dotterelpitch.routing.crash_history import Clearance, Crash
from dotterelpitch.routing.engine_load import EngineLoad
from dotterelpitch.routing.limits import AccountUsage


@frozen
class EngineShare:
    """The share of its usual load that an engine may get; 0 for a suspect."""

    engine: str
    share: float


@frozen
class ServiceLoad:
    """The load of the engines of one service that the sender owns."""

    service: str
    engines: list[EngineLoad] = field(factory=list)


@frozen
class ServiceUsage:
    """The usage by the client accounts of one service that the sender has seen."""

    service: str
    usages: list[AccountUsage] = field(factory=list)


@frozen
class ServiceHealth:
    """The engines of one service that the sender owns and that are not healthy."""

    service: str
    shares: list[EngineShare] = field(factory=list)


@message(50)
class LoadDigest:
    """The load of the engines that a router owns under one VM list revision."""

    vm: str
    list_revision: int
    services: list[ServiceLoad] = field(factory=list)


@message(51)
class UsageDigest:
    """The recent usage by client accounts that a router has seen."""

    vm: str
    services: list[ServiceUsage] = field(factory=list)


@message(52)
class HealthDigest:
    """The owned engines that are not fully healthy."""

    vm: str
    services: list[ServiceHealth] = field(factory=list)


@message(53)
class CrashDigest:
    """Requests suspected of crashing engines, and those cleared of it."""

    vm: str
    crashes: list[Crash] = field(factory=list)
    cleared: list[Clearance] = field(factory=list)


@message(54)
class DigestPush:
    """Sends one digest to another router; End of the stream acknowledges it."""

    topic: str
    vm: str
    payload: bytes
