"""Outcomes of attempts at engines, and what each allows to follow."""

from enum import StrEnum

from attrs import frozen


class AttemptOutcome(StrEnum):
    """Outcome of one attempt at an engine; the values are logged and counted.

    After a NOT_SENT or REJECTED attempt the request can't have run; after the others
    but DELIVERED it may have. AMBIGUOUS is a response whose status tells a caller that
    its request hasn't run, though its engine doesn't say so.
    """

    DELIVERED = "delivered"
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    FAILED = "failed"
    AMBIGUOUS = "ambiguous"
    LOST = "lost"
    TIMED_OUT = "timed-out"


class FinalResponse(StrEnum):
    """Kind of response that the caller gets when no attempt follows."""

    REFUSAL = "refusal"
    ENGINE_RESPONSE = "engine-answer"
    BAD_GATEWAY = "bad-gateway"
    TIMEOUT = "timeout"


@frozen
class RetryRule:
    """Rule for a retry after an outcome.

    If ``may_have_run``, only retryable requests get another attempt. If
    ``costs_budget``, a retry counts against the retry budget, since the attempt
    has reached an engine. ``final`` is the response when no attempt follows.
    """

    may_have_run: bool
    costs_budget: bool
    final: FinalResponse


RETRY_RULE_BY_OUTCOME = {
    AttemptOutcome.NOT_SENT: RetryRule(False, False, FinalResponse.REFUSAL),
    AttemptOutcome.REJECTED: RetryRule(False, True, FinalResponse.REFUSAL),
    AttemptOutcome.FAILED: RetryRule(True, True, FinalResponse.ENGINE_RESPONSE),
    AttemptOutcome.AMBIGUOUS: RetryRule(True, True, FinalResponse.BAD_GATEWAY),
    AttemptOutcome.LOST: RetryRule(True, True, FinalResponse.BAD_GATEWAY),
    AttemptOutcome.TIMED_OUT: RetryRule(True, True, FinalResponse.TIMEOUT),
}


def final_response(outcome: AttemptOutcome, may_have_run: bool) -> FinalResponse:
    """Return the kind of response after the last attempt, which had ``outcome``.

    ``may_have_run`` is whether any attempt may have run the request. If so, a
    refusal becomes BAD_GATEWAY, since a refusal states that nothing has run.

    >>> final_response(AttemptOutcome.REJECTED, may_have_run=True)
    <FinalResponse.BAD_GATEWAY: 'bad-gateway'>
    """
    final = RETRY_RULE_BY_OUTCOME[outcome].final
    if final is FinalResponse.REFUSAL and may_have_run:
        return FinalResponse.BAD_GATEWAY
    return final
