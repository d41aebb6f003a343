"""Tells the overload limit how soon one attempt was answered."""

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
    """Watches one attempt from the sending of its request on.

    An engine that doesn't say how busy it is counts as crowded when it is late.
    """

    _overload: AdaptiveConcurrencyLimiter
    _call: Call
    _ticket: InFlightRequest = field(init=False)
    _is_crowded: bool = field(default=True, init=False)

    def __attrs_post_init__(self) -> None:
        route = self._call.route
        self._ticket = self._overload.request_started(
            self._call.service, route.objective_s
        )

    def head_received(self, verdict: ResponseClass, load: ReportedLoad | None) -> None:
        """Take in the head of the answer; a full engine can't be in time."""
        if load is not None:
            self._is_crowded = load.is_crowded
        if verdict is ResponseClass.NOT_RUN:
            self._overload.request_rejected(self._ticket)

    def answer_started(self) -> None:
        """Take in that the caller can be given something now."""
        self._overload.response_started(self._ticket, self._is_crowded)

    def ended(self) -> None:
        """Count the end of the request at the engine."""
        self._overload.request_ended(self._ticket)


def log_limit_change(move: LimitChange) -> None:
    """Log that the limit of a service has moved."""
    values = attrs.asdict(move)
    rounded = {n: round(v, 2) if isinstance(v, float) else v for n, v in values.items()}
    log_event(Event.LIMIT_MOVED, **rounded)
