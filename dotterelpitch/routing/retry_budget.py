"""A budget that keeps retries from multiplying the traffic during failures."""

from attrs import define

DEFAULT_RETRY_SHARE = 0.2
# A router with little traffic may still retry this many times.
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 20.0


@define
class RetryBudget:
    """Allows retries up to the fraction ``share`` of the router's requests.

    This is a token bucket: every request adds ``share`` of a retry to ``saved``,
    up to ``MAX_SAVED_RETRIES``, and every retry takes 1. The number of attempts
    stays within ``1 + share`` times that of requests, plus ``INITIAL_RETRIES``.

    >>> budget = RetryBudget(share=0.5, saved=0.0)
    >>> budget.request_started(); budget.request_started()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    share: float = DEFAULT_RETRY_SHARE
    saved: float = INITIAL_RETRIES

    def request_started(self) -> None:
        """Count one request; its retries are not counted here."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share)

    def try_spend(self) -> bool:
        """Return whether one more attempt may start, and spend a retry if so."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
