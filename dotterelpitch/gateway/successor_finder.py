"""Finds where a call can go on before its attempt at a silent engine is left.

A silent engine may go on, and what it has begun is lost once its connection is closed.
So an attempt is left for its silence alone only after it is known who takes the call
and that the rules allow it: another engine that has room and isn't silent too, or a
peer that reaches engines while this VM reaches none.
"""

from collections.abc import Callable, Collection

from attrs import define, evolve, field

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.attempt_result import AttemptResult
from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.call_rules import CallRules
from dotterelpitch.gateway.engine_selection import EngineSelection
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.gateway.peer_forwarder import PeerForwarder
from dotterelpitch.gateway.shared_checks import RunCheck
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck

# An engine that has sent something within this time isn't silent.
HEARD_SECONDS = 0.3
CHECK_TIMEOUT_SECONDS = 0.25
# An engine with a larger share of its slots in use may reject the call, since the
# counts of the other VMs are out of date.
MAX_USED_SLOTS_SHARE = 0.8
# An engine that hasn't responded to a check isn't asked again sooner.
CHECK_INTERVAL_SECONDS = 1.0

_RESPONSES = {CheckResult.RESPONDED, CheckResult.RETURNED, CheckResult.UNNEEDED}


@define
class SuccessorFinder:
    """Decides whether a call can go on elsewhere, and reserves the next attempt."""

    _clock: Clock
    _state: GatewayState
    _selection: EngineSelection
    _rules: CallRules
    _tracker: EngineTracker
    _loads: FleetLoads
    _rate_limits: FleetRateLimits
    _peer_forwarder: PeerForwarder
    _run_check: RunCheck
    _asked_at_by_engine: dict[str, float] = field(factory=dict)

    async def find(
        self, call: Call, progress: CallProgress, is_needed: Callable[[], bool]
    ) -> bool:
        """Return whether the attempt in progress may be left.

        If so, the next one is charged to the retry budget already, and ``progress``
        has its engine, unless a peer takes the call. ``is_needed`` returns whether the
        attempt is silent still.
        """
        if self._peer_forwarder.can_go_on(progress):
            return self._reserve(call, progress, None)
        choice = await self._find_engine(call, progress)
        if choice is None:
            return False
        if is_needed() and self._reserve(call, progress, choice):
            return True
        self._rate_limits.limiter.take_back(choice.engine)
        return False

    async def _find_engine(
        self, call: Call, progress: CallProgress
    ) -> EngineChoice | None:
        """Return an engine for the call; for a stream, one with room that lives."""
        if call.route.kind is not CallKind.STREAM:
            return self._selection.select_untried(call, progress)
        usable = self._state.directory.usable(call.service)
        full_ids = self._full_ids(usable)
        silent_ids = [e.id for e in usable if not self._is_heard(e)]
        avoided_ids = full_ids + silent_ids
        choice = self._selection.select_untried(call, progress, avoided_ids)
        if choice is not None:
            return choice
        choice = self._selection.select_untried(call, progress, full_ids)
        if choice is None or await self._responds(choice.engine):
            return choice
        self._rate_limits.limiter.take_back(choice.engine)
        return None

    def _full_ids(self, engines: Collection[Engine]) -> list[str]:
        """Return the engines that may reject one more request."""
        load_by_id = self._loads.totals(engine.id for engine in engines)
        return [
            engine.id
            for engine in engines
            if engine.slots
            and load_by_id[engine.id] + 1 > MAX_USED_SLOTS_SHARE * engine.slots
        ]

    def _is_heard(self, engine: Engine) -> bool:
        oldest = self._clock.monotonic() - HEARD_SECONDS
        return self._tracker.crash_detector.has_outlived(engine.id, oldest)

    async def _responds(self, engine: Engine) -> bool:
        """Return whether an engine gives a sign of life, unless it was asked lately."""
        now = self._clock.monotonic()
        asked_at = self._asked_at_by_engine.get(engine.id, float("-inf"))
        if now - asked_at < CHECK_INTERVAL_SECONDS:
            return False
        self._asked_at_by_engine[engine.id] = now
        check = EngineCheck(
            engine.id,
            engine.address,
            self._state.health_path(engine),
            is_needed=lambda: not self._is_heard(engine),
            patience_s=0.0,
            timeout_s=CHECK_TIMEOUT_SECONDS,
        )
        has_responded = await self._run_check(check) in _RESPONSES
        if has_responded:
            self._tracker.heard_from(engine)
        return has_responded

    def _reserve(
        self, call: Call, progress: CallProgress, choice: EngineChoice | None
    ) -> bool:
        """Charge the next attempt if the rules allow it after the one in progress."""
        left = evolve(
            progress,
            sent_count=progress.sent_count + 1,
            may_have_run=True,
            last_result=AttemptResult(AttemptOutcome.TIMED_OUT),
        )
        if self._rules.no_retry_reason(call, left):
            return False
        progress.is_retry_reserved = True
        progress.next_choice = choice
        return True
