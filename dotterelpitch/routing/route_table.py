"""Which service a request goes to, and who may send it: one version of the config.

A config is immutable. A process replaces the one in force by a newer version as
a whole, so a request sees the same version from its first decision to its last.
"""

from collections.abc import Iterable, Mapping
from enum import StrEnum

from attrs import define, field, frozen


class CallKind(StrEnum):
    """What may be repeated of a request."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class WeightedService:
    """One of the services that share the requests of a route."""

    service: str
    weight: float


@frozen
class Route:
    """Where requests to a host and a path prefix go.

    Times are in seconds. ``objective_s`` is the time in which an answer, or the
    first event of a stream, is worth most; ``pause_s`` the longest good pause
    between events. Priority 0 is the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    has_prompt: bool = False
    is_resumable: bool = False
    pause_s: float = 0.0

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        return self.kind is CallKind.SAFE or self.is_resumable


@frozen
class Account:
    """A client account; its priority, if it has one, goes before that of a route."""

    name: str
    priority: int | None = None


@frozen
class ServiceLimits:
    """What the engines of one service bear, each by itself.

    ``max_connections`` are from all VMs together. ``cache_tokens`` is 0 for
    engines that read no prompts.
    """

    max_connections: int
    slots: int = 0
    cache_tokens: int = 0


@frozen
class CallerLimits:
    """What a caller may send; sizes in bytes, times in seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@define
class RoutingConfig:
    """One version of routes, accounts, and limits, with the lookups they need.

    >>> route = Route(
    ...     "r", "a.example", "/x/", CallKind.SAFE, (WeightedService("s", 1),), 1, 0.1
    ... )
    >>> config = RoutingConfig(7, [route], {}, {}, CallerLimits())
    >>> config.find_route("a.example", "/x/y").name
    'r'
    >>> config.find_route("a.example", "/y") is None
    True
    """

    version: int
    routes: Iterable[Route] = field(converter=tuple)
    service_by_name: Mapping[str, ServiceLimits]
    account_by_key: Mapping[str, Account]
    limits: CallerLimits
    _route_by_prefix_by_host: dict[str, dict[str, Route]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, dict[str, Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._route_by_prefix_by_host = by_host

    @property
    def needs_key(self) -> bool:
        """Whether callers of routes that aren't public must show a key."""
        return bool(self.account_by_key)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins ``path``.

        A path is compared as it was sent, without decoding. Every prefix ends
        with a slash, so the cost grows with the slashes of the path and not
        with the number of routes.
        """
        route_by_prefix = self._route_by_prefix_by_host.get(_host_name(host))
        if route_by_prefix is None:
            return None
        end = path.rfind("/") + 1
        while end > 0:
            route = route_by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
