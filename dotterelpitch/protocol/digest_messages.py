"""What routers tell one another by gossip: load, usage, health, and crashes.

Each digest is all that one router has to say on its topic, so that a newer
one replaces an older one and a lost one does no harm.
"""

from attrs import field, frozen

from dotterelpitch.protocol.codec import message
from dotterelpitch.routing.crash_suspects import Clearance, Crash
from dotterelpitch.routing.engine_load import EngineLoad
from dotterelpitch.routing.limits import AccountUsage


@frozen
class EngineShare:
    """Which share of its usual work an engine may take; 0 for a suspect."""

    engine: str
    share: float


@frozen
class ServiceLoad:
    """The load of the engines of one service that the sender owns."""

    service: str
    engines: list[EngineLoad] = field(factory=list)


@frozen
class ServiceUsage:
    """What the sender has seen of the client accounts of one service."""

    service: str
    usages: list[AccountUsage] = field(factory=list)


@frozen
class ServiceHealth:
    """The engines of one service that the sender owns and distrusts."""

    service: str
    shares: list[EngineShare] = field(factory=list)


@message(50)
class LoadDigest:
    """The engines that a router owns, from one revision of the VM list."""

    vm: str
    list_revision: int
    services: list[ServiceLoad] = field(factory=list)


@message(51)
class UsageDigest:
    """What a router has seen of the client accounts lately."""

    vm: str
    services: list[ServiceUsage] = field(factory=list)


@message(52)
class HealthDigest:
    """The owned engines that are not fully healthy."""

    vm: str
    services: list[ServiceHealth] = field(factory=list)


@message(53)
class CrashDigest:
    """Requests under suspicion of crashing engines, and cleared ones."""

    vm: str
    crashes: list[Crash] = field(factory=list)
    cleared: list[Clearance] = field(factory=list)


@message(54)
class DigestPush:
    """Hands one digest to another router; the end of the stream confirms it."""

    topic: str
    vm: str
    payload: bytes
