"""Hands a stream that has begun over from a silent engine to another one.

The engine that has begun it may go on at any moment, and the other one may reject it.
So the connection to the first stays until the other has begun to answer, or has said
nothing for a moment, and no longer than both may work on the stream.
"""

from collections.abc import Callable

from attrs import define

from dotterelpitch.gateway.attempt import AttemptRunner, OpenAttempt
from dotterelpitch.gateway.attempt_recorder import AttemptRecorder
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call, ResponseWriter
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.response_forwarding import AttemptLimits
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.fleet_loads import FleetLoads

# For so long a stream may be at two engines.
OVERLAP_SECONDS = 0.25

GONE_ON = AttemptResult(
    AttemptOutcome.TIMED_OUT, "the engine that has begun the stream goes on"
)


@define
class StreamHandover:
    """Opens the next attempt of a stream before the one in progress is left."""

    _attempt_runner: AttemptRunner
    _recorder: AttemptRecorder
    _loads: FleetLoads

    async def open_next(
        self,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
        limits: AttemptLimits,
        is_needed: Callable[[], bool],
    ) -> bool:
        """Return whether the engine chosen for the next attempt takes the stream.

        If so, ``progress`` has the open attempt. If not, its result is recorded.
        """
        choice = progress.next_choice
        self._loads.request_started(choice.engine.id)
        try:
            opened = await self._attempt_runner.open(
                call, choice, limits.max_connections, progress.events
            )
            result = opened
            if isinstance(opened, OpenAttempt):
                result = await self._check(
                    opened, call, progress, writer, limits, is_needed
                )
        finally:
            self._loads.request_ended(choice.engine.id)
        if result is None:
            progress.open_attempt = opened
            return True
        progress.take_next_choice()
        progress.is_retry_reserved = False
        self._recorder.record(call, choice, progress, writer, result)
        return False

    async def _check(
        self,
        opened: OpenAttempt,
        call: Call,
        progress: CallProgress,
        writer: ResponseWriter,
        limits: AttemptLimits,
        is_needed: Callable[[], bool],
    ) -> AttemptResult | None:
        """Return the result of an open attempt that has ended, or None."""
        try:
            is_taken = await self._attempt_runner.is_taken(opened, OVERLAP_SECONDS)
        except BaseException:
            self._attempt_runner.abandon(opened)
            raise
        if not is_needed():
            self._attempt_runner.abandon(opened)
            return GONE_ON
        if is_taken:
            return None
        return await self._attempt_runner.finish(
            opened, call, limits, writer, progress.events
        )
