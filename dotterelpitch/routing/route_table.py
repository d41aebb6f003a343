"""Routes, client accounts, and limits of one config version.

A config is immutable. A process replaces the one in force with a newer version as a
whole, and each request uses a single version from start to end.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from enum import StrEnum

from attrs import define, field, frozen

from dotterelpitch.routing.cold_engines import ColdLimits

DEFAULT_HEALTH_PATH = "/health"


class CallKind(StrEnum):
    """Kind of requests of a route, which decides whether they can be retried.

    The requests of a SAFE route can be retried after they may have run. Those of
    UNSAFE and STREAM routes can't, unless the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class WeightedService:
    """A service that receives a weighted share of the requests of a route."""

    service: str
    weight: float


@frozen
class Route:
    """Destination and rules for requests to a host and a path prefix.

    Times are in seconds. ``objective_s`` is the latency objective of a response, or
    of the first event of a stream; ``pause_s`` is the objective for the longest
    pause between events. Priority 0 is the most urgent. ``is_resumable`` routes
    have streams that another engine can continue.
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
        """Whether a request can be retried even though it may have run."""
        return self.kind is CallKind.SAFE or self.is_resumable


@frozen
class Account:
    """A client account; its priority, if not None, overrides that of a route."""

    name: str
    priority: int | None = None


@frozen
class ServiceLimits:
    """Limits of each single engine of a service.

    ``max_connections`` counts the connections of all VMs together, ``slots`` the
    concurrent requests. ``cache_tokens`` is the size of the prompt cache, 0 for
    engines without prompts. ``health_path`` is where an engine answers whether it is
    healthy. ``cold`` is what an engine bears when it has just started.
    """

    max_connections: int
    slots: int = 0
    cache_tokens: int = 0
    health_path: str = DEFAULT_HEALTH_PATH
    cold: ColdLimits = field(factory=ColdLimits)


@frozen
class CallerLimits:
    """Limits on requests and connections of a caller, in bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class PathPrefixTable:
    """The routes of one host by path prefix.

    A path is looked up once for each length that a prefix has, so what a lookup costs
    depends on the config and not on the path, which may come from anybody.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._route_by_prefix = {route.path_prefix: route for route in routes}
        self._lengths = sorted(set(map(len, self._route_by_prefix)), reverse=True)

    def find(self, path: str) -> Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        for length in self._lengths:
            # A prefix ends with a slash.
            if path.startswith("/", length - 1):
                route = self._route_by_prefix.get(path[:length])
                if route is not None:
                    return route
        return None


@define
class RoutingConfig:
    """One config version, with lookups by host and path, service, and API key.

    With ``needs_key``, callers of routes that aren't public must send an API key, also
    while no account has one.

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
    needs_key: bool = True
    _prefixes_by_host: dict[str, PathPrefixTable] = field(init=False)

    def __attrs_post_init__(self) -> None:
        routes_by_host: dict[str, list[Route]] = defaultdict(list)
        for route in self.routes:
            routes_by_host[route.host.lower()].append(route)
        self._prefixes_by_host = {
            host: PathPrefixTable(routes) for host, routes in routes_by_host.items()
        }

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest path prefix, or None.

        ``path`` is matched as it was sent, without percent-decoding.
        """
        prefixes = self._prefixes_by_host.get(_host_name(host))
        return prefixes.find(path) if prefixes else None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
