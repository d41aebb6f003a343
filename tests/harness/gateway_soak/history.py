"""What callers sent and got, what engines ran, and what was disturbed when."""

import time
from collections.abc import Iterable

import attrs

# A VM is in touch when nothing of it was disturbed for this long.
CONTACT_SECONDS = 3.0
# A version of the config is in force everywhere this long after it was written.
APPLY_SECONDS = 2.0
# What the harness itself may be late by on a busy machine.
MARGIN_SECONDS = 0.3
BASE_KEY = "key-1"
STORE = "store"
ENGINES = "engines"
PEERS = "peers"


@attrs.define
class Sent:
    """One request of a caller and how it ended; times in seconds."""

    id: str
    vm: str
    route: str
    key: str
    body: bytes
    at: float
    ended: float = 0.0
    status: int = 0
    is_whole: bool = False
    left: bool = False
    fault: str = ""

    @property
    def path(self) -> str:
        """The path that was asked for."""
        return f"/{self.route}/{self.id}"


@attrs.define
class Run:
    """One arrival of a request at an engine; ``ran`` is False for a 421."""

    id: str
    engine: str
    service: str
    account: str | None
    has_key: bool
    is_unchanged: bool
    at: float
    ran: bool = True
    ended: float = 0.0


@attrs.define
class Disturbance:
    """A fault on a VM, the store, the engines, or the links between VMs."""

    name: str
    target: str
    began: float
    ended: float = float("inf")
    is_planned: bool = False


@attrs.frozen
class ConfigVersion:
    """Which routes and keys a version allows, from ``at`` on."""

    version: int
    at: float
    routes: frozenset[str]
    keys: frozenset[str]

    def allows(self, sent: Sent) -> bool:
        """Whether a request may run under this version."""
        return sent.route in self.routes and sent.key in self.keys


@attrs.define
class History:
    """All of it, in the order of time."""

    sent: list[Sent] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    configs: list[ConfigVersion] = attrs.field(factory=list)
    left_service_at: dict[str, float] = attrs.field(factory=dict)
    stop_codes: dict[str, int] = attrs.field(factory=dict)
    own_ends: list[str] = attrs.field(factory=list)
    served_at_the_end: float = 0.0

    def disturb(self, name: str, target: str, is_planned=False) -> Disturbance:
        """Note the begin of a fault."""
        found = Disturbance(name, target, time.monotonic(), is_planned=is_planned)
        self.disturbances.append(found)
        return found

    def is_calm(
        self, targets: Iterable[str], since: float, until: float, planned=True
    ) -> bool:
        """Whether none of ``targets`` was disturbed between two times.

        Planned work counts as a disturbance when ``planned`` is True.
        """
        targets = set(targets)
        return not any(
            d.target in targets
            and d.began <= until
            and d.ended >= since
            and (planned or not d.is_planned)
            for d in self.disturbances
        )

    def in_touch(self, vm: str, since: float, until: float) -> bool:
        """Whether a VM, the store, and its peers were calm for long enough."""
        return self.is_calm((vm, STORE, PEERS), since - CONTACT_SECONDS, until)

    def configs_in_force(self, at: float) -> list[ConfigVersion]:
        """Return the versions by which a request of this time may be handled."""
        oldest = at - APPLY_SECONDS - MARGIN_SECONDS
        newest = [c for c in self.configs if c.at <= oldest][-1:]
        return newest + [c for c in self.configs if c.at > oldest]
