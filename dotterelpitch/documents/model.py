"""The data model of service documents, as attrs classes.

Each document is owned by one team. It lists the endpoints of the service, the
client accounts that may call it, and the routes of plain calls, which define
whether a call may be retried. All times are in seconds, all rates per second.
"""

from enum import StrEnum

from attrs import field, frozen

DEFAULT_LOAD_BOUND = 1.25
DEFAULT_REPEAT_WINDOW_SECONDS = 86_400.0


class EndpointKind(StrEnum):
    """The kind of process that serves an endpoint."""

    ENGINE = "engine"
    PLAIN = "plain"


class EngineRole(StrEnum):
    """The phases of a generation that an engine runs."""

    BOTH = "both"
    PREFILL = "prefill"
    DECODE = "decode"


@frozen
class Endpoint:
    """One engine or one plain service process.

    ``vm`` is the name of the endpoint's VM in the platform's list; it defaults
    to the endpoint's name. ``concurrency`` is the number of requests that it
    runs at once. ``checks_fencing`` is true if it refuses an order or a call
    with a fencing number older than one it has seen.
    """

    name: str
    address: str
    failure_domain: str
    kind: EndpointKind = EndpointKind.ENGINE
    concurrency: int = 16
    checks_fencing: bool = False
    vm: str = ""
    role: EngineRole = EngineRole.BOTH

    @property
    def vm_name(self) -> str:
        """The name of the endpoint's VM in the platform's list."""
        return self.vm or self.name


@frozen
class Model:
    """A model that the service offers.

    With ``replicas`` above 0 the fleet orders that many engines to load it.
    With 0 the fleet doesn't place it and assumes that every engine serves it.
    """

    name: str
    version: str = "1"
    adapters: list[str] = field(factory=list)
    replicas: int = 0


@frozen
class ClientAccount:
    """A client account of the service and its limits.

    ``key_sha256`` is the hexadecimal SHA-256 digest of the account's key.
    Requests with a lower ``priority`` run first. A limit of 0 means no limit.
    """

    name: str
    key_sha256: str
    priority: int = 1
    requests_per_second: float = 0.0
    concurrency: int = 0
    tokens_per_second: float = 0.0


@frozen
class Route:
    """A rule for plain calls; ``*`` in ``path`` matches one or more segments.

    The first matching route applies; a call without a match is refused. A call
    on a route that isn't ``idempotent`` must have an idempotency key.
    """

    method: str
    path: str
    idempotent: bool = True


@frozen
class Timeouts:
    """Timeouts in seconds for the phases of one request."""

    connect: float = 1.0
    first_token: float = 30.0
    between_tokens: float = 15.0
    total: float = 600.0


@frozen
class ServiceDocument:
    """The desired configuration of one service, at one revision.

    ``load_bound`` limits the load of an engine, as a multiple of the engines' mean
    load. ``repeat_window`` is how long an idempotency key may be repeated.
    """

    service: str
    revision: int = 0
    endpoints: list[Endpoint] = field(factory=list)
    models: list[Model] = field(factory=list)
    client_accounts: list[ClientAccount] = field(factory=list)
    routes: list[Route] = field(factory=list)
    load_bound: float = DEFAULT_LOAD_BOUND
    timeouts: Timeouts = field(factory=Timeouts)
    repeat_window: float = DEFAULT_REPEAT_WINDOW_SECONDS

    def engines(self) -> list[Endpoint]:
        """Return the endpoints that are engines."""
        return [e for e in self.endpoints if e.kind is EndpointKind.ENGINE]

    def plain_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that are plain services."""
        return [e for e in self.endpoints if e.kind is EndpointKind.PLAIN]
