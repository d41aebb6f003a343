"""Records of requests, engine runs, injected faults, and config versions."""

import time
from collections.abc import Iterable

import attrs

# A VM counts as recovered once no fault has affected it for this long.
RECOVERY_SECONDS = 3.0
# Every gateway applies a config version within this time of its being written.
APPLY_SECONDS = 2.0
# The harness itself may run this late on a busy machine.
SCHEDULING_MARGIN_SECONDS = 0.3
BASE_KEY = "key-1"
# The names of prompt parts that crash engines begin with this.
PART_PREFIX = "part"
STORE = "store"
ENGINES = "engines"
PEERS = "peers"


@attrs.define
class SentRequest:
    """One request of a caller and how it ended.

    ``at`` and ``ended`` are monotonic times in seconds; ``error`` is empty if an
    answer arrived. ``versions`` are the engine versions of the events of a stream, over
    all attempts to read it. ``first_id`` is the id of the first of these, and
    ``last_event`` the number of the last complete event that they brought.
    """

    id: str
    vm: str
    route: str
    key: str
    body: bytes
    at: float
    ended: float = 0.0
    status: int = 0
    is_complete: bool = False
    versions: set[str] = attrs.field(factory=set)
    first_id: str = ""
    last_event: int = 0
    caller_left: bool = False
    error: str = ""

    @property
    def path(self) -> str:
        """The path of the request."""
        return f"/{self.route}/{self.content_id}"

    @property
    def content_id(self) -> str:
        """The id on which path, body, and answer depend."""
        return self.first_id or self.id


@attrs.define
class Run:
    """One arrival of a request at an engine.

    ``ran`` is False if the engine refused the request with 421. ``at`` and
    ``ended`` are monotonic times in seconds.
    """

    id: str
    engine: str
    service: str
    account: str | None
    has_key: bool
    is_unchanged: bool
    at: float
    ran: bool = True
    ended: float = 0.0
    domain: str = ""


@attrs.frozen
class CrashArrival:
    """The arrival of a request that crashes the engine which runs it.

    ``fault`` names the content or the prompt part that comes again with other request
    ids, and ``vm`` the gateway that was sent the request; ``at`` is a monotonic time.
    """

    fault: str
    vm: str
    at: float

    @property
    def is_of_part(self) -> bool:
        """Whether a prompt part is at fault."""
        return self.fault.startswith(PART_PREFIX)


@attrs.define
class LimitSpan:
    """The time for which an engine names a rate limit, in requests per second."""

    engine: str
    per_second: float
    began: float
    ended: float = float("inf")


@attrs.frozen
class NoticeGiven:
    """A response in which an engine says that it leaves, or wants a pause.

    ``pause_s`` is the pause in seconds, or None if the engine leaves. ``at`` is a
    monotonic time.
    """

    engine: str
    request_id: str
    at: float
    pause_s: float | None = None


@attrs.define
class EvacuationSpan:
    """The time in which a failure domain is to get nothing; monotonic times."""

    domain: str
    began: float
    ended: float = float("inf")


@attrs.define
class FaultSpan:
    """The duration of a fault of a VM, the store, the engines, or the peer links.

    ``target`` is the name of a VM, ``STORE``, ``ENGINES``, or ``PEERS``. Planned
    stops are recorded too, with ``is_planned``.
    """

    name: str
    target: str
    began: float
    ended: float = float("inf")
    is_planned: bool = False


@attrs.frozen
class ConfigVersion:
    """The routes and keys that a config version allows, written at ``at``."""

    version: int
    at: float
    routes: frozenset[str]
    keys: frozenset[str]

    def allows(self, sent: SentRequest) -> bool:
        """Return whether a request may run under this version."""
        return sent.route in self.routes and sent.key in self.keys


@attrs.define
class History:
    """Everything that the checks read, in chronological order.

    ``removed_at_by_engine`` holds monotonic times in seconds, and
    ``final_served_share`` the share of requests served after the last fault.
    ``banned_ids`` are the ids of requests that gateways refused since they crash
    engines.
    """

    sent: list[SentRequest] = attrs.field(factory=list)
    runs: list[Run] = attrs.field(factory=list)
    faults: list[FaultSpan] = attrs.field(factory=list)
    configs: list[ConfigVersion] = attrs.field(factory=list)
    removed_at_by_engine: dict[str, float] = attrs.field(factory=dict)
    exit_code_by_stop: dict[str, int] = attrs.field(factory=dict)
    unexpected_exits: list[str] = attrs.field(factory=list)
    crash_arrivals: list[CrashArrival] = attrs.field(factory=list)
    limits: list[LimitSpan] = attrs.field(factory=list)
    notices: list[NoticeGiven] = attrs.field(factory=list)
    evacuations: list[EvacuationSpan] = attrs.field(factory=list)
    banned_ids: list[str] = attrs.field(factory=list)
    final_served_share: float = 0.0

    def begin_fault(self, name: str, target: str, is_planned=False) -> FaultSpan:
        """Record and return a fault that begins now."""
        span = FaultSpan(name, target, time.monotonic(), is_planned=is_planned)
        self.faults.append(span)
        return span

    def is_fault_free(
        self, targets: Iterable[str], since: float, until: float, with_planned=True
    ) -> bool:
        """Return whether no fault affected any of ``targets`` between two times.

        Planned stops count as faults if ``with_planned`` is True.
        """
        targets = set(targets)
        return not any(
            fault.target in targets
            and fault.began <= until
            and fault.ended >= since
            and (with_planned or not fault.is_planned)
            for fault in self.faults
        )

    def is_vm_fault_free(self, vm: str, since: float, until: float) -> bool:
        """Return whether a VM, the store, and the peer links had no fault.

        The time before ``since`` that a VM needs to recover is included.
        """
        return self.is_fault_free((vm, STORE, PEERS), since - RECOVERY_SECONDS, until)

    def configs_in_force(self, at: float) -> list[ConfigVersion]:
        """Return the versions under which a request sent at ``at`` may be handled."""
        oldest = at - APPLY_SECONDS - SCHEDULING_MARGIN_SECONDS
        newest = [c for c in self.configs if c.at <= oldest][-1:]
        return newest + [c for c in self.configs if c.at > oldest]
