"""The OpenTelemetry metrics of the product, with typed access.

``get_metrics()`` returns the single instance of the process; ``render`` returns the
text for a ``/metrics`` endpoint. Times are in seconds, traffic in bytes.
"""

from collections.abc import Callable, Iterable
from enum import StrEnum
from functools import cache
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from prometheus_client import CollectorRegistry, generate_latest

from dotterelpitch.protocol.traffic import BODY_KIND, TrafficTotals, traffic_totals
from dotterelpitch.telemetry.events import Event, observe_events

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SECONDS_BUCKETS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
    60.0,
)

Labels = dict[str, str]
Sample = tuple[float, Labels]


class CacheReuse(StrEnum):
    """Whether the engine had a prefix of the chat's prompt in its cache."""

    HIT = "hit"
    MISS = "miss"


class Metrics:
    """The metric instruments of one process.

    >>> metrics = Metrics()
    >>> metrics.request_ended("course-assistant", "completed")
    >>> b"requests_total" in metrics.render()
    True
    """

    def __init__(self, traffic: TrafficTotals = traffic_totals) -> None:
        self._traffic = traffic
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            prefix="dotterelpitch",
            scope_info_enabled=False,
            registry=self._registry,
        )
        buckets = ExplicitBucketHistogramAggregation(SECONDS_BUCKETS)
        view = View(instrument_unit="s", aggregation=buckets)
        provider = MeterProvider(
            metric_readers=[reader], views=[view], shutdown_on_exit=False
        )
        self._meter = provider.get_meter("dotterelpitch")
        self._create_instruments()
        self._create_traffic_counters()

    def request_ended(self, service: str, outcome: str) -> None:
        """Count one request by its final outcome."""
        self._requests.add(1, {"service": service, "outcome": outcome})

    def request_queued(self, service: str, seconds: float) -> None:
        """Record the seconds that a request waited in an endpoint's queue."""
        self._queue_time.record(seconds, {"service": service})

    def chat_answered(
        self, service: str, reuse: CacheReuse, prompt_tokens: int, cached_tokens: int
    ) -> None:
        """Count one complete chat response, with its prompt's cache reuse."""
        self._cache_reuse.add(1, {"service": service, "reuse": reuse.value})
        self._prompt_tokens.add(prompt_tokens, {"service": service})
        self._cached_tokens.add(cached_tokens, {"service": service})

    def event_logged(self, event: Event, values: dict[str, Any]) -> None:
        """Count one event by number and name; ``values`` is ignored."""
        labels = {"number": str(event.number), "name": event.name.lower()}
        self._events.add(1, labels)

    def watch_engine_loads(
        self, read: Callable[[], Iterable[tuple[str, str, float]]]
    ) -> None:
        """Read (service, engine, tokens per slot) at each scrape.

        The skew, the highest load of a service divided by its mean load, is computed
        from the same callback.
        """

        def loads() -> Iterable[Sample]:
            return [(v, {"service": s, "engine": e}) for s, e, v in read()]

        def skews() -> Iterable[Sample]:
            return _load_skew_by_service(read())

        self._add_gauge("engine_load", "Load of an engine, in tokens per slot.", loads)
        self._add_gauge(
            "engine_load_skew",
            "Highest engine load of a service divided by the mean.",
            skews,
        )

    def watch_document_ages(
        self, read: Callable[[], Iterable[tuple[str, float]]]
    ) -> None:
        """Read (service, seconds since the platform responded) at each scrape."""

        def ages() -> Iterable[Sample]:
            return [(age, {"service": service}) for service, age in read()]

        self._add_gauge(
            "document_age",
            "Time since the platform last confirmed the document.",
            ages,
            "s",
        )

    def watch_document_revisions(
        self, read: Callable[[], Iterable[tuple[str, int]]]
    ) -> None:
        """Read (service, revision in force) at each scrape."""

        def revisions() -> Iterable[Sample]:
            return [(revision, {"service": service}) for service, revision in read()]

        self._add_gauge(
            "document_revision",
            "Revision of the service's document in force.",
            revisions,
        )

    def watch_leases(self, read: Callable[[], list[float]]) -> None:
        """Read the remaining seconds of each held lease at each scrape."""

        def held() -> Iterable[Sample]:
            return [(len(read()), {})]

        def shortest() -> Iterable[Sample]:
            seconds = read()
            return [(min(seconds), {})] if seconds else []

        self._add_gauge(
            "leases_held", "Slots of idempotency keys leased by this router.", held
        )
        self._add_gauge(
            "lease_left", "Time left of the held lease that ends first.", shortest, "s"
        )

    def watch_queue_lengths(
        self, read: Callable[[], Iterable[tuple[str, int]]]
    ) -> None:
        """Read (service, queued requests) at each scrape."""

        def lengths() -> Iterable[Sample]:
            return [(length, {"service": service}) for service, length in read()]

        self._add_gauge(
            "queue_length", "Requests queued at this router for an endpoint.", lengths
        )

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)

    def _create_instruments(self) -> None:
        meter = self._meter
        self._requests = meter.create_counter(
            "requests", description="Requests, by final outcome."
        )
        self._cache_reuse = meter.create_counter(
            "chat_cache_reuse",
            description="Complete chat responses, by reuse of a cached prefix.",
        )
        self._prompt_tokens = meter.create_counter(
            "prompt_tokens", description="Prompt tokens of complete chat responses."
        )
        self._cached_tokens = meter.create_counter(
            "cached_prompt_tokens",
            description="Prompt tokens that the engine found in its cache.",
        )
        self._events = meter.create_counter(
            "events", description="Logged events, by event number and name."
        )
        self._queue_time = meter.create_histogram(
            "queue_time", "s", "Time that a request waited in the queue of an endpoint."
        )

    def _create_traffic_counters(self) -> None:
        self._meter.create_observable_counter(
            "control_bytes",
            [self._observe_control_by_kind],
            description="Control bytes of the inner protocol, by message kind.",
        )
        self._meter.create_observable_counter(
            "peer_control_bytes",
            [self._observe_control_by_peer],
            description="Control bytes of the inner protocol, by peer.",
        )

    def _observe_control_by_kind(self, _: CallbackOptions) -> Iterable[Observation]:
        total = self._traffic.total_by_kind()
        by_direction = {"sent": total.sent_by_kind, "received": total.received_by_kind}
        for direction, bytes_by_kind in by_direction.items():
            for kind, size in bytes_by_kind.items():
                if kind != BODY_KIND:
                    yield Observation(size, {"kind": kind, "direction": direction})

    def _observe_control_by_peer(self, _: CallbackOptions) -> Iterable[Observation]:
        for peer, counter in list(self._traffic.counter_by_peer.items()):
            labels = {"peer": peer, "direction": "sent"}
            yield Observation(counter.control_sent, labels)
            labels = {"peer": peer, "direction": "received"}
            yield Observation(counter.control_received, labels)

    def _add_gauge(
        self,
        name: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
        unit: str = "",
    ) -> None:
        def observe(_: CallbackOptions) -> Iterable[Observation]:
            return [Observation(value, labels) for value, labels in read()]

        self._meter.create_observable_gauge(name, [observe], unit, description)


@cache
def get_metrics() -> Metrics:
    """Return the metrics of this process.

    Logged events are counted from the first call on.
    """
    metrics = Metrics()
    observe_events(metrics.event_logged)
    return metrics


def _load_skew_by_service(loads: Iterable[tuple[str, str, float]]) -> Iterable[Sample]:
    loads_by_service: dict[str, list[float]] = {}
    for service, _, load in loads:
        loads_by_service.setdefault(service, []).append(load)
    for service, values in loads_by_service.items():
        mean = sum(values) / len(values)
        yield (max(values) / mean if mean else 1.0), {"service": service}
