"""Reports each attempt to the limiters and to the crash detector."""

from collections.abc import Callable
from functools import partial

import attrs
from attrs import define, field

from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.crash_watcher import CrashWatcher
from dotterelpitch.gateway.engine_status_recorder import EngineStatusRecorder
from dotterelpitch.gateway.response_forwarding import ResponseObserver
from dotterelpitch.gateway.stream_resumption import StreamResumption
from dotterelpitch.platform.engine_status import EngineStatus
from dotterelpitch.platform.headers import ResponseClass
from dotterelpitch.routing.concurrency_limiter import (
    AdaptiveConcurrencyLimiter,
    InFlightRequest,
    LimitChange,
)
from dotterelpitch.routing.crash_detector import UnansweredAttempt
from dotterelpitch.routing.engine_choice import ChoiceReason, EngineChoice
from dotterelpitch.routing.engine_contact import EngineContact
from dotterelpitch.routing.engine_speeds import EngineSpeeds
from dotterelpitch.routing.engines import Engine
from dotterelpitch.telemetry.events import Event, log_event
from dotterelpitch.upstream.connection import EngineConnection

# For these choices the engines of a service take equally long, but for their speed.
_COMPARABLE_REASONS = {ChoiceReason.USUAL_ENGINE, ChoiceReason.LEAST_LOADED}


@define
class AttemptObserver(ResponseObserver):
    """Reports one attempt, from sending its request on.

    An engine that doesn't report its load is taken to be crowded, so a late response
    from it counts as overload.
    """

    _concurrency_limiter: AdaptiveConcurrencyLimiter
    _crash_watcher: CrashWatcher
    _status_recorder: EngineStatusRecorder
    _stream_resumption: StreamResumption
    _contact: EngineContact
    _speeds: EngineSpeeds
    _call: Call
    _choice: EngineChoice
    _connection: EngineConnection
    _request: InFlightRequest = field(init=False)
    _attempt: UnansweredAttempt = field(init=False)
    _report_end: Callable[[UnansweredAttempt], None] = field(init=False)
    _is_crowded: bool = field(default=True, init=False)
    _has_head: bool = field(default=False, init=False)
    _has_output: bool = field(default=False, init=False)

    @property
    def _engine(self) -> Engine:
        return self._choice.engine

    def __attrs_post_init__(self) -> None:
        self._report_end = partial(self._crash_watcher.attempt_ended, is_broken=False)
        route = self._call.route
        self._request = self._concurrency_limiter.request_started(
            self._call.service, route.objective_s, self._call.account_name
        )
        self._attempt = self._crash_watcher.attempt_sent(
            self._engine,
            self._call.fingerprint,
            self._call.leading_parts,
            route.objective_s,
        )

    def head_received(
        self, response_class: ResponseClass, status: EngineStatus
    ) -> None:
        """Record the head of the response.

        A rejection counts as late, unless the engine is left alone for it anyway.
        """
        self._has_head = True
        self._contact.record_response(self._connection.opened_at)
        self.data_received()
        self._status_recorder.record(self._engine, response_class, status)
        if status.load is not None:
            self._is_crowded = status.load.is_crowded
        if response_class is ResponseClass.NOT_RUN and status.pause_s is None:
            self._concurrency_limiter.request_rejected(self._request)

    def data_received(self) -> None:
        """Record bytes of the response."""
        self._contact.record_data()
        self._crash_watcher.response_continued(self._attempt)

    def output_received(self) -> None:
        """Record that bytes for the caller have arrived."""
        self._crash_watcher.output_received(self._attempt)
        if not self._has_output:
            self._has_output = True
            self._record_speed()
        self._concurrency_limiter.response_started(self._request, self._is_crowded)

    def _record_speed(self) -> None:
        """Record how long the engine took, unless it may have read the whole prompt."""
        if self._choice.reason in _COMPARABLE_REASONS:
            seconds = self._concurrency_limiter.seconds_since_sent(self._request)
            route = self._call.route
            route_key = f"{route.host}{route.path_prefix}"
            self._speeds.record(self._engine.id, route_key, seconds)

    def stream_began(self) -> None:
        """Record that the engine has sent the first event of a stream."""
        self._stream_resumption.record(self._call, self._engine.version)

    def answered(self, is_end_certain: bool) -> None:
        """Record that the response is complete.

        ``is_end_certain`` is False if it ended with its connection.
        """
        watcher = self._crash_watcher
        self._report_end = (
            watcher.attempt_answered if is_end_certain else watcher.attempt_closed
        )

    def connection_broke(self) -> None:
        """Record that the connection broke before the response was complete."""
        self._record_silence()
        self._report_end = partial(self._crash_watcher.attempt_ended, is_broken=True)

    def timed_out(self) -> None:
        """Record that the response, or the rest of it, didn't come in time."""
        self._record_silence()

    def _record_silence(self) -> None:
        """Record that the engine may be unreachable if it hasn't responded at all."""
        if not self._has_head:
            is_new = not self._connection.has_responded
            self._contact.record_failure(self._engine.id, is_new)

    def ended(self) -> None:
        """Record that the attempt has ended."""
        self._concurrency_limiter.request_ended(self._request)
        self._report_end(self._attempt)


def log_limit_change(change: LimitChange) -> None:
    """Log that the in-flight limit of a service has changed."""
    values = attrs.asdict(change)
    rounded = {n: round(v, 2) if isinstance(v, float) else v for n, v in values.items()}
    log_event(Event.LIMIT_MOVED, **rounded)
