"""The rules by which a call isn't sent to an engine, or not to another one.

Each rule is a class with the reason that the caller is told. ``CallRules`` holds the
tables: what must hold before the first attempt, and before each further one. The first
rule in a table that forbids a call counts, so those that use something up come last.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import ClassVar

from attrs import define

from dotterelpitch.clock import Clock
from dotterelpitch.gateway.call import Call
from dotterelpitch.gateway.call_progress import CallProgress
from dotterelpitch.gateway.engine_tracker import EngineTracker
from dotterelpitch.routing.attempt_outcomes import RETRY_RULE_BY_OUTCOME
from dotterelpitch.routing.concurrency_limiter import AdaptiveConcurrencyLimiter
from dotterelpitch.routing.engine_pauses import EnginePauses
from dotterelpitch.routing.engines import EngineDirectory
from dotterelpitch.routing.fleet_rate_limits import FleetRateLimits
from dotterelpitch.routing.fleet_retry_budget import FleetRetryBudget
from dotterelpitch.telemetry.events import Event, log_event

# An attempt needs at least this time and this fraction of the route's latency
# objective: not even an idle engine answers sooner.
MIN_ATTEMPT_SECONDS = 0.03
MIN_ATTEMPT_OBJECTIVES = 0.1
# A failed connect costs only a few milliseconds, so attempts that end before sending
# have a limit of their own instead of the route's.
MAX_UNSENT_ATTEMPTS = 4
# So many attempts at a stream that has begun may be rejected without counting against
# the route's limit: they haven't run, and the caller loses what it has.
MAX_REJECTED_STREAM_ATTEMPTS = 3


class CallRule(ABC):
    """A rule that may forbid the next attempt of a call.

    ``reason`` is what the caller is told. Checking a rule may count the call, so a rule
    is checked once per attempt.
    """

    reason: ClassVar[str]

    @abstractmethod
    def forbids(self, call: Call, progress: CallProgress) -> bool:
        """Return whether the call must not be sent."""


@define
class TimeRule(CallRule):
    """Another attempt must be able to complete before the deadline."""

    reason = "its deadline is too near"
    _clock: Clock

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        min_s = MIN_ATTEMPT_OBJECTIVES * call.route.objective_s
        remaining_s = call.deadline - self._clock.monotonic()
        return remaining_s < max(MIN_ATTEMPT_SECONDS, min_s)


@define
class BannedContentRule(CallRule):
    """Requests with the call's content must not have crashed engines."""

    reason = "requests with this content have crashed engines"
    _tracker: EngineTracker

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        if not self._tracker.is_banned(call):
            return False
        log_event(
            Event.REQUEST_BANNED,
            request=call.request_id,
            fingerprint=call.fingerprint,
            parts=call.prompt_parts,
            engines=self._tracker.suspects.crashed_engines(call.fingerprint),
        )
        return True


@define
class BannedPartRule(CallRule):
    """No part of the call's prompt must have crashed engines.

    A first attempt may be the trial that is due; one of the VMs does it.
    """

    reason = "requests with this prompt part have crashed engines"
    _tracker: EngineTracker
    _retry_budget: FleetRetryBudget

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        parts = self._tracker.banned_parts(call)
        if not parts:
            return False
        suspects = self._tracker.part_suspects
        may_try = progress.last_result is None
        is_chosen = may_try and random.random() < 1 / self._retry_budget.vm_count
        is_tried = is_chosen and suspects.try_trial(parts)
        log_event(
            Event.PART_TRIED if is_tried else Event.PART_BANNED,
            request=call.request_id,
            parts=parts,
            engines=sorted(
                {e for part in parts for e in suspects.crashed_engines(part)}
            ),
        )
        return not is_tried


@define
class ConcurrencyRule(CallRule):
    """The service must be able to respond in time to one more call.

    A call that a peer has sent to an engine before was admitted there.
    """

    reason = "the engines have more work than they can do in time"
    _limiter: AdaptiveConcurrencyLimiter

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        if progress.sent_count:
            return False
        return not self._limiter.admits(call.service, call.priority, call.account_name)


@define
class RateLimitRule(CallRule):
    """The engines' rate limits must leave room for one more call."""

    reason = "the engines take fewer requests per second than are sent"
    _rate_limits: FleetRateLimits
    _directory: EngineDirectory

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        engines = self._directory.usable(call.service)
        return not self._rate_limits.admits(call.service, call.priority, engines)


@define
class PauseRule(CallRule):
    """An engine of the service must take requests now."""

    reason = "all engines of the service want no requests for a while"
    _pauses: EnginePauses
    _directory: EngineDirectory

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        engines = self._directory.usable(call.service)
        return self._pauses.remaining_s(engines) is not None


@define
class EvacuationRule(CallRule):
    """An engine of the service must be outside the evacuated failure domains."""

    reason = "all engines of the service are in evacuated failure domains"
    _directory: EngineDirectory

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        return self._directory.has_only_evacuated(call.service)


@define
class UnsentAttemptsRule(CallRule):
    """Only so many attempts may end before their request is sent."""

    reason = "too many engines couldn't be reached"

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        return progress.unsent_count >= MAX_UNSENT_ATTEMPTS


@define
class IdempotencyRule(CallRule):
    """What may have run is sent again only where the route allows it."""

    reason = "the request may have run"

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        return progress.may_have_run and not call.route.is_retryable


@define
class RetryBudgetRule(CallRule):
    """What has reached an engine is sent again within the limits of route and fleet.

    A call that isn't forbidden is charged to the fleet's budget.
    """

    reason = "no retry is left"
    _retry_budget: FleetRetryBudget

    def forbids(self, call: Call, progress: CallProgress) -> bool:
        if not RETRY_RULE_BY_OUTCOME[progress.last_result.outcome].costs_budget:
            return False
        if _counted_attempts(progress) >= call.route.max_attempts:
            return True
        if self._retry_budget.try_spend(call.service):
            return False
        log_event(
            Event.RETRY_BUDGET_SPENT, request=call.request_id, service=call.service
        )
        return True


@define
class CallRules:
    """The rules to check before the first attempt of a call, and before a retry."""

    first: Sequence[CallRule]
    retry: Sequence[CallRule]

    @classmethod
    def create(
        cls,
        clock: Clock,
        directory: EngineDirectory,
        tracker: EngineTracker,
        retry_budget: FleetRetryBudget,
        limiter: AdaptiveConcurrencyLimiter,
        rate_limits: FleetRateLimits,
        pauses: EnginePauses,
    ) -> "CallRules":
        """Return the tables of a gateway."""
        time = TimeRule(clock)
        banned_content = BannedContentRule(tracker)
        banned_part = BannedPartRule(tracker, retry_budget)
        first = (
            time,
            banned_content,
            banned_part,
            EvacuationRule(directory),
            PauseRule(pauses, directory),
            ConcurrencyRule(limiter),
            RateLimitRule(rate_limits, directory),
        )
        retry = (
            time,
            banned_content,
            banned_part,
            UnsentAttemptsRule(),
            IdempotencyRule(),
            RetryBudgetRule(retry_budget),
        )
        return cls(first, retry)

    def refusal_reason(self, call: Call, progress: CallProgress) -> str:
        """Return why a call must not be sent at all, or an empty string."""
        return _first_reason(self.first, call, progress)

    def no_retry_reason(self, call: Call, progress: CallProgress) -> str:
        """Return why not to make another attempt, or an empty string.

        An attempt that may be made is charged to the budget.
        """
        return _first_reason(self.retry, call, progress)


def _counted_attempts(progress: CallProgress) -> int:
    """Return how many attempts count against the limit of the route."""
    if not progress.has_events:
        return progress.sent_count
    uncounted = min(progress.rejected_count, MAX_REJECTED_STREAM_ATTEMPTS)
    return progress.sent_count - uncounted


def _first_reason(rules: Sequence[CallRule], call: Call, progress: CallProgress) -> str:
    return next((rule.reason for rule in rules if rule.forbids(call, progress)), "")
