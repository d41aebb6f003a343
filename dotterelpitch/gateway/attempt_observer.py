"""Reports the latency and the end of each attempt to the concurrency limiter."""

import attrs
from attrs import define, field

from dotterelpitch.gateway.call import Call
from dotterelpitch.platform.headers import ReportedLoad, ResponseClass
from dotterelpitch.routing.concurrency_limiter import (
    AdaptiveConcurrencyLimiter,
    InFlightRequest,
    LimitChange,
)
from dotterelpitch.telemetry.events import Event, log_event


@define
class AttemptObserver:
    """Reports one attempt to the concurrency limiter, from sending its request on.

    An engine that doesn't report its load is taken to be crowded, so a late response
    from it counts as overload.
    """

    _concurrency_limiter: AdaptiveConcurrencyLimiter
    _call: Call
    _request: InFlightRequest = field(init=False)
    _is_crowded: bool = field(default=True, init=False)

    def __attrs_post_init__(self) -> None:
        route = self._call.route
        self._request = self._concurrency_limiter.request_started(
            self._call.service, route.objective_s
        )

    def head_received(
        self, response_class: ResponseClass, load: ReportedLoad | None
    ) -> None:
        """Record the head of the response; a rejection counts as late."""
        if load is not None:
            self._is_crowded = load.is_crowded
        if response_class is ResponseClass.NOT_RUN:
            self._concurrency_limiter.request_rejected(self._request)

    def response_started(self) -> None:
        """Record that the first byte for the caller has arrived."""
        self._concurrency_limiter.response_started(self._request, self._is_crowded)

    def ended(self) -> None:
        """Record that the attempt has ended."""
        self._concurrency_limiter.request_ended(self._request)


def log_limit_change(change: LimitChange) -> None:
    """Log that the in-flight limit of a service has changed."""
    values = attrs.asdict(change)
    rounded = {n: round(v, 2) if isinstance(v, float) else v for n, v in values.items()}
    log_event(Event.LIMIT_MOVED, **rounded)
