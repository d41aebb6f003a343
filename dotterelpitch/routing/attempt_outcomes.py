"""What may follow an attempt at an engine, by how it ended."""

from enum import StrEnum

from attrs import frozen


class AttemptOutcome(StrEnum):
    """How one attempt at an engine ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"


class FinalResponse(StrEnum):
    """What the caller gets when no attempt follows."""

    REFUSAL = "refusal"
    ENGINE_RESPONSE = "engine-answer"
    BAD_GATEWAY = "bad-gateway"
    TIMEOUT = "timeout"


@frozen
class RetryRule:
    """What an end allows.

    ``may_have_run`` ends allow another attempt only of requests that may be
    repeated. ``costs_budget`` ends have reached an engine.
    """

    may_have_run: bool
    costs_budget: bool
    final: FinalResponse


RETRY_RULE_BY_OUTCOME = {
    AttemptOutcome.NOT_SENT: RetryRule(False, False, FinalResponse.REFUSAL),
    AttemptOutcome.REJECTED: RetryRule(False, True, FinalResponse.REFUSAL),
    AttemptOutcome.FAILED: RetryRule(True, True, FinalResponse.ENGINE_RESPONSE),
    AttemptOutcome.LOST: RetryRule(True, True, FinalResponse.BAD_GATEWAY),
    AttemptOutcome.TIMED_OUT: RetryRule(True, True, FinalResponse.TIMEOUT),
}


def final_response(end: AttemptOutcome, may_have_run: bool) -> FinalResponse:
    """Return what a caller gets after the last attempt.

    ``may_have_run`` tells of the attempts before it: after one that may have
    run, a refusal would promise too much.

    >>> final_response(AttemptOutcome.REJECTED, may_have_run=True)
    <FinalResponse.BAD_GATEWAY: 'bad-gateway'>
    """
    final = RETRY_RULE_BY_OUTCOME[end].final
    if final is FinalResponse.REFUSAL and may_have_run:
        return FinalResponse.BAD_GATEWAY
    return final
