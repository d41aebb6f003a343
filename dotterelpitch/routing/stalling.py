"""Policies on whether a request waits for the busy engine that holds its prefix.

In the terms of queueing theory, the engine with the prefix is a fast server and
any other one a slow server. A request stalls if it waits for the fast server
while a slow one could start it at once.
"""

from abc import ABC, abstractmethod

from attrs import frozen

# Bounds the assumed cost of a cold start when almost all slots are in use.
MIN_SPARE_SHARE = 0.01
# A cold start also evicts other prefixes from a cache, so its cost is multiplied by
# this factor.
COLD_START_COST_FACTOR = 2.0


@frozen
class StallState:
    """The state of the engine and the request on which a policy decides.

    ``queued`` is the number of requests in the queue and ``slots`` that of
    requests that run at once. ``wait`` is the expected wait here, in units of
    the request's expected service time here. ``cold_ratio`` is the request's
    service time elsewhere divided by that here. ``utilisation`` is the share of
    the fleet's slots in use.
    """

    queued: int
    slots: int
    wait: float
    cold_ratio: float
    utilisation: float


class StallingPolicy(ABC):
    """Decides between waiting for the warm engine and starting on a cold one."""

    name: str

    @abstractmethod
    def waits(self, state: StallState) -> bool:
        """Return whether the request waits for the warm engine."""


class SharedCapacity(StallingPolicy):
    """Waits while that costs the request less than a cold start costs all requests.

    A cold start uses ``cold_ratio - 1`` additional service times of the
    capacity that all requests share. At utilisation u this delays them in
    total by about ``1 / (1 - u)`` times as much. The second copy of the prefix
    also evicts other prefixes from a cache, hence ``COLD_START_COST_FACTOR``.
    """

    name = "shared-capacity"

    def waits(self, state: StallState) -> bool:
        spare = max(MIN_SPARE_SHARE, 1.0 - state.utilisation)
        return state.wait < COLD_START_COST_FACTOR * (state.cold_ratio - 1.0) / spare


if __name__ == "__main__":
    policy = SharedCapacity()
    for utilisation in (0.2, 0.5, 0.8, 0.95):
        longest = [
            sum(
                policy.waits(StallState(j, 4, (j + 1) / 4, ratio, utilisation))
                for j in range(100)
            )
            for ratio in (1.1, 1.5, 2.0, 4.0)
        ]
        print(f"utilisation {utilisation}: joins queues of up to {longest}")
