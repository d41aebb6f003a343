"""Finds where a call can go on before its attempt at a silent engine is left.

A silent engine may go on, and what it has begun is lost once its connection is closed.
So an attempt is left for its silence alone only after it is known who takes the call
and that the rules allow it: another engine that has room and isn't silent too, or,
before anything of the response has come, a peer that reaches engines while this VM
reaches none.
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
from dotterelpitch.gateway.state import GatewayState
from dotterelpitch.routing.attempt_outcomes import AttemptOutcome
from dotterelpitch.routing.engine_choice import EngineChoice
from dotterelpitch.routing.engines import Engine
from dotterelpitch.routing.fleet_loads import FleetLoads
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.route_table import CallKind
from dotterelpitch.upstream.engine_check import CheckResult, EngineCheck, RunCheck

# An engine that has sent something within this time isn't silent.
HEARD_SECONDS = 0.3
CHECK_TIMEOUT_SECONDS = 0.25
# An engine with a larger share of its slots in use may reject the call, since the
# counts of the other VMs are out of date.
MAX_USED_SLOTS_SHARE = 0.8
# An engine that hasn't responded to a check isn't asked again sooner.
RECHECK_SECONDS = 1.0
# Each VM asks one engine at a time, so that its other checks have room.
CHECK_INTERVAL_SECONDS = 0.5

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
    _silent_at_by_engine: dict[str, float] = field(factory=dict)
    _checked_at: float = float("-inf")

    async def find(
        self, call: Call, progress: CallProgress, is_needed: Callable[[], bool]
    ) -> bool:
        """Return whether the attempt in progress may be left.

        If so, the next one is charged to the retry budget already, and ``progress``
        has its engine, unless a peer takes the call. ``is_needed`` returns whether the
        attempt is silent still. Once the rules have forbidden another attempt, this
        one stays.
        """
        if progress.is_bound_to_attempt:
            return False
        has_begun = progress.version is not None
        if not has_begun and self._peer_forwarder.can_go_on(progress):
            return self._reserve(call, progress, None)
        choice = self._select(call, progress)
        if choice is None:
            return False
        is_reserved = False
        try:
            if await self._can_take(call, choice.engine) and is_needed():
                is_reserved = self._reserve(call, progress, choice)
        finally:
            if not is_reserved:
                self._rate_limits.limiter.take_back(choice.engine)
        return is_reserved

    def _select(self, call: Call, progress: CallProgress) -> EngineChoice | None:
        """Return an engine that has been heard just now, else one that may be asked.

        For a stream it has room.
        """
        usable = self._state.directory.usable(call.service)
        full_ids = self._full_ids(usable)
        unheard_ids = [e.id for e in usable if not self._is_heard(e)]
        avoided_ids = full_ids + unheard_ids
        choice = self._selection.select_untried(call, progress, avoided_ids)
        if choice is not None or call.route.kind is not CallKind.STREAM:
            return choice or self._selection.select_untried(call, progress)
        if self._clock.monotonic() - self._checked_at < CHECK_INTERVAL_SECONDS:
            return None
        avoided_ids = full_ids + self._recently_silent_ids()
        return self._selection.select_untried(call, progress, avoided_ids)

    def _recently_silent_ids(self) -> list[str]:
        """Return the engines that have met a check with silence lately."""
        oldest = self._clock.monotonic() - RECHECK_SECONDS
        self._silent_at_by_engine = {
            engine_id: at
            for engine_id, at in self._silent_at_by_engine.items()
            if at >= oldest
        }
        return list(self._silent_at_by_engine)

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

    async def _can_take(self, call: Call, engine: Engine) -> bool:
        """Return whether an engine lives; for a plain call it isn't asked."""
        if call.route.kind is not CallKind.STREAM or self._is_heard(engine):
            return True
        return await self._responds(engine)

    async def _responds(self, engine: Engine) -> bool:
        """Return whether an engine gives a sign of life when asked."""
        self._checked_at = self._clock.monotonic()
        check = EngineCheck(
            engine.id,
            engine.address,
            self._state.health_path(engine),
            is_needed=lambda: not self._is_heard(engine),
            patience_s=0.0,
            timeout_s=CHECK_TIMEOUT_SECONDS,
        )
        result = await self._run_check(check)
        if result in _RESPONSES:
            self._tracker.heard_from(engine)
            return True
        if result is not CheckResult.NOT_STARTED:
            self._silent_at_by_engine[engine.id] = self._clock.monotonic()
        return False

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
            progress.is_bound_to_attempt = True
            return False
        progress.is_retry_reserved = True
        progress.next_choice = choice
        return True
