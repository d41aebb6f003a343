"""What may follow an attempt at an engine, by how it ended."""

from enum import StrEnum

from attrs import frozen


class AttemptEnd(StrEnum):
    """How one attempt at an engine ended."""

    DELIVERED = "delivered"
    NOT_SENT = "not-sent"
    REJECTED = "rejected"
    FAILED = "failed"
    LOST = "lost"
    TIMED_OUT = "timed-out"


class FinalAnswer(StrEnum):
    """What the caller gets when no attempt follows."""

    REFUSAL = "refusal"
    ENGINE_ANSWER = "engine-answer"
    BAD_GATEWAY = "bad-gateway"
    TIMEOUT = "timeout"


@frozen
class Rule:
    """What an end allows.

    ``may_have_run`` ends allow another attempt only of requests that may be
    repeated. ``costs_budget`` ends have reached an engine.
    """

    may_have_run: bool
    costs_budget: bool
    final: FinalAnswer


RULE_BY_END = {
    AttemptEnd.NOT_SENT: Rule(False, False, FinalAnswer.REFUSAL),
    AttemptEnd.REJECTED: Rule(False, True, FinalAnswer.REFUSAL),
    AttemptEnd.FAILED: Rule(True, True, FinalAnswer.ENGINE_ANSWER),
    AttemptEnd.LOST: Rule(True, True, FinalAnswer.BAD_GATEWAY),
    AttemptEnd.TIMED_OUT: Rule(True, True, FinalAnswer.TIMEOUT),
}


def final_answer(end: AttemptEnd, may_have_run: bool) -> FinalAnswer:
    """Return what a caller gets after the last attempt.

    ``may_have_run`` tells of the attempts before it: after one that may have
    run, a refusal would promise too much.

    >>> final_answer(AttemptEnd.REJECTED, may_have_run=True)
    <FinalAnswer.BAD_GATEWAY: 'bad-gateway'>
    """
    final = RULE_BY_END[end].final
    if final is FinalAnswer.REFUSAL and may_have_run:
        return FinalAnswer.BAD_GATEWAY
    return final
