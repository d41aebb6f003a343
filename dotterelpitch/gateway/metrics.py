"""The gateway's metrics, derived from its log events and its current state.

An event carries what both a log line and a counter need, so the code that emits it
makes one call for both.
"""

from collections.abc import Callable, Iterable
from typing import Any

from dotterelpitch.gateway.body_memory import BodyMemory
from dotterelpitch.gateway.link import LinkTable
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.protocol.traffic import traffic_totals
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.health import EngineHealth
from dotterelpitch.routing.rate_limit_registry import RateLimitRegistry
from dotterelpitch.telemetry.events import Event, observe_events
from dotterelpitch.telemetry.text_metrics import (
    Counter,
    Gauge,
    Histogram,
    LabelValues,
    render_text,
)
from dotterelpitch.upstream.pool import ConnectionPool

Sample = tuple[LabelValues, float]
Values = dict[str, Any]

_PREFIX = "dotterelpitch_gateway_"


class GatewayMetrics:
    """Counters and histograms of requests, and gauges of the current state.

    ``count_connections`` returns the number of callers' connections.
    """

    def __init__(
        self,
        state: GatewayState,
        loads: FleetLoads,
        health: EngineHealth,
        pool: ConnectionPool,
        links: LinkTable,
        concurrency_limiter: AdaptiveConcurrencyLimiter,
        rate_limits: RateLimitRegistry,
        contact: EngineContact,
        speeds: EngineSpeeds,
        body_memory: BodyMemory,
    ) -> None:
        self._state = state
        self._loads = loads
        self._health = health
        self._pool = pool
        self._links = links
        self._concurrency_limiter = concurrency_limiter
        self._rate_limits = rate_limits
        self._contact = contact
        self._speeds = speeds
        self._body_memory = body_memory
        self.count_connections: Callable[[], int] = lambda: 0
        self.events = _counter(
            "events", "Logged events, by event number and name.", "number", "name"
        )
        self.requests = _counter(
            "requests",
            "Requests answered with a response from an engine.",
            "route",
            "outcome",
            "status",
        )
        self.refusals = _counter(
            "refusals",
            "Requests answered with an error of the gateway itself.",
            "status",
            "outcome",
        )
        self.attempts = _counter(
            "attempts",
            "Attempts to send a request to an engine, by reason of the choice.",
            "route",
            "reason",
        )
        self.failed_attempts = _counter(
            "failed_attempts", "Attempts without a usable response, by failure.", "end"
        )
        self.first_byte = _histogram(
            "first_byte_seconds",
            "Time from a request's receipt to the start of its response.",
        )
        self.connect = _histogram(
            "connect_seconds", "Time to get a connection to the engine."
        )
        self.longest_pause = _histogram(
            "longest_pause_seconds", "Longest pause in a streamed response."
        )
        self.duration = _histogram(
            "request_seconds",
            "Time from a request's receipt to the end of its response.",
        )
        self._observe_by_event: dict[Event, Callable[[Values], None]] = {
            Event.REQUEST_ENDED: self._request_ended,
            Event.REQUEST_REFUSED: self._request_refused,
            Event.ATTEMPT_STARTED: self._attempt_started,
            Event.ATTEMPT_FAILED: self._attempt_failed,
        }

    def start(self) -> None:
        """Start counting events."""
        observe_events(self._observe)

    def render(self) -> str:
        """Return all metrics in the text exposition format."""
        return render_text([*self._families(), *self._gauges()])

    def _families(self) -> list[Counter | Histogram]:
        return [
            self.events,
            self.requests,
            self.refusals,
            self.attempts,
            self.failed_attempts,
            self.first_byte,
            self.connect,
            self.longest_pause,
            self.duration,
        ]

    def _gauges(self) -> list[Gauge]:
        return [
            _gauge(
                "engines",
                "Known engines by health; leaving engines are counted apart.",
                self._engines,
                "belief",
            ),
            _gauge(
                "open_requests",
                "Requests of this gateway in flight at an engine.",
                self._open_requests,
                "engine",
            ),
            _gauge(
                "in_flight_limit",
                "Limit on requests in flight for an overloaded service.",
                self._limits,
                "service",
            ),
            _gauge(
                "engine_rate_limit",
                "Requests per second that an engine has said it takes.",
                self._engine_rate_limits,
                "engine",
            ),
            _gauge(
                "engines_unreached",
                "1 while no engine seems to be reachable from this VM, else 0.",
                self._engines_unreached,
            ),
            _gauge(
                "caller_connections",
                "Open connections of callers.",
                self._caller_connections,
            ),
            _gauge(
                "body_bytes",
                "Bytes of request bodies held now.",
                self._body_bytes,
            ),
            _gauge(
                "engine_slowness",
                "Factor by which an engine takes longer than the average one.",
                self._engine_slowness,
                "engine",
            ),
            _gauge(
                "cold_engines",
                "Engines that are, or may be, cold and get few requests.",
                self._cold_engines,
            ),
            _gauge(
                "evacuated_failure_domains",
                "Failure domains whose engines get no requests.",
                self._evacuated_domains,
            ),
            _gauge(
                "config_version",
                "Version of the config in force, 0 for none.",
                self._config_version,
            ),
            _gauge(
                "store_age_seconds",
                "Time since the store last confirmed the config and engines.",
                self._store_age,
            ),
            _gauge(
                "peers_heard", "Peers with an open link to this gateway.", self._peers
            ),
            _gauge(
                "connections_opened",
                "Connections opened to engines since the start.",
                self._connections,
            ),
            _gauge(
                "peer_bytes",
                "Bytes of the inner protocol, by direction.",
                self._peer_bytes,
                "direction",
            ),
        ]

    def _observe(self, event: Event, values: Values) -> None:
        self.events.add(str(event.number), event.name.lower())
        observe = self._observe_by_event.get(event)
        if observe is not None:
            observe(values)

    def _request_ended(self, values: Values) -> None:
        route = values["route"]
        self.requests.add(route, values["outcome"], str(values["status"]))
        self.duration.observe(values["seconds"], route)
        for name, histogram in (
            ("first_s", self.first_byte),
            ("connect_s", self.connect),
            ("longest_pause_s", self.longest_pause),
        ):
            if values[name] is not None:
                histogram.observe(values[name], route)

    def _request_refused(self, values: Values) -> None:
        self.refusals.add(str(values["status"]), values["outcome"])

    def _attempt_started(self, values: Values) -> None:
        self.attempts.add(values["route"], values["reason"])

    def _attempt_failed(self, values: Values) -> None:
        self.failed_attempts.add(values["end"])

    def _engines(self) -> Iterable[Sample]:
        count_by_health: dict[str, int] = {}
        for engine in self._state.directory.engine_by_id.values():
            health = self._health.state(engine.id).value
            if self._state.directory.is_evacuated(engine):
                health = "evacuated"
            if engine.is_leaving:
                health = "leaving"
            count_by_health[health] = count_by_health.get(health, 0) + 1
        return [((health,), count) for health, count in count_by_health.items()]

    def _open_requests(self) -> Iterable[Sample]:
        return [
            ((engine,), count) for engine, count in self._loads.own_counts().items()
        ]

    def _limits(self) -> Iterable[Sample]:
        return [
            ((service,), limit)
            for service, limit in self._concurrency_limiter.active_limits()
        ]

    def _engine_rate_limits(self) -> Iterable[Sample]:
        return [
            ((limit.engine_id,), limit.per_second)
            for limit in self._rate_limits.in_force()
        ]

    def _engines_unreached(self) -> Iterable[Sample]:
        return [((), int(self._contact.is_lost))]

    def _caller_connections(self) -> Iterable[Sample]:
        return [((), self.count_connections())]

    def _body_bytes(self) -> Iterable[Sample]:
        return [((), self._body_memory.used)]

    def _engine_slowness(self) -> Iterable[Sample]:
        slowness_by_id = self._speeds.slowness(self._speeds.known_ids())
        return [((engine,), factor) for engine, factor in slowness_by_id.items()]

    def _cold_engines(self) -> Iterable[Sample]:
        return [((), len(self._state.cold_engines.cold_ids()))]

    def _evacuated_domains(self) -> Iterable[Sample]:
        return [((), len(self._state.evacuations.domains))]

    def _config_version(self) -> Iterable[Sample]:
        config = self._state.config
        return [((), config.version if config else 0)]

    def _store_age(self) -> Iterable[Sample]:
        return [((), self._state.age_s)]

    def _peers(self) -> Iterable[Sample]:
        return [((), len(self._links.peers()))]

    def _connections(self) -> Iterable[Sample]:
        return [((), self._pool.opened_count)]

    def _peer_bytes(self) -> Iterable[Sample]:
        total = traffic_totals.total_by_kind()
        sent = sum(total.sent_by_kind.values())
        received = sum(total.received_by_kind.values())
        return [(("sent",), sent), (("received",), received)]


def _counter(name: str, help: str, *labels: str) -> Counter:
    return Counter(f"{_PREFIX}{name}_total", help, labels)


def _histogram(name: str, help: str) -> Histogram:
    return Histogram(_PREFIX + name, help, ("route",))


def _gauge(
    name: str, help: str, read: Callable[[], Iterable[Sample]], *labels: str
) -> Gauge:
    return Gauge(_PREFIX + name, help, labels, read)
