"""Stalling policies that the experiment compares with the router's policy."""

from dotterelpitch.routing.stalling import SharedCapacity, StallingPolicy, StallState


class NeverWait(StallingPolicy):
    """Starts on another engine whenever the warm engine is busy."""

    name = "never"

    def waits(self, state: StallState) -> bool:
        return False


class AlwaysWait(StallingPolicy):
    """Waits for the warm engine, however long its queue is."""

    name = "always"

    def waits(self, state: StallState) -> bool:
        return state.cold_ratio > 1.0


class IndividualThreshold(StallingPolicy):
    """Waits while ``(j + 1) / slots < 1/r``, with j requests waiting.

    r is the ratio of the cold to the warm service rate, that is ``1 / cold_ratio``.
    """

    name = "individual"

    def waits(self, state: StallState) -> bool:
        return state.cold_ratio > 1.0 and (
            (state.queued + 1) / state.slots < state.cold_ratio
        )


class ExpectedDelay(StallingPolicy):
    """Waits while the expected wait is shorter than the extra time of a cold start.

    With exponential service times on ``slots`` servers, the wait behind j requests
    is ``(j + 1) / slots`` service times, and a cold start takes ``1/r - 1`` service
    times longer, with r as in ``IndividualThreshold``.
    """

    name = "expected-delay"

    def waits(self, state: StallState) -> bool:
        return (state.queued + 1) / state.slots < state.cold_ratio - 1.0


class LoadThreshold(StallingPolicy):
    """Lowers the threshold of ``ExpectedDelay`` as the fleet's utilisation rises.

    The optimum for all requests together waits less than the optimum for each
    request alone, and the difference grows with the load.
    """

    name = "load-threshold"

    def waits(self, state: StallState) -> bool:
        spare = max(0.0, 1.0 - state.utilisation)
        threshold = (state.cold_ratio - 1.0) * spare
        return (state.queued + 1) / state.slots < threshold


POLICY_BY_NAME: dict[str, StallingPolicy] = {
    policy.name: policy
    for policy in (
        NeverWait(),
        AlwaysWait(),
        IndividualThreshold(),
        ExpectedDelay(),
        LoadThreshold(),
        SharedCapacity(),
    )
}
