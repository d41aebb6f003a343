"""A budget for retries, so that failures don't multiply the traffic."""

from attrs import define

DEFAULT_SHARE = 0.2
# A router with little traffic may still retry this often.
INITIAL_RETRIES = 10.0
MAX_SAVED_RETRIES = 20.0


@define
class RetryBudget:
    """Allows retries up to ``share`` of the requests of this router.

    Every request earns a part of a retry, and every retry spends a whole one,
    so attempts stay within ``1 + share`` times the requests, plus
    ``INITIAL_RETRIES`` once.

    >>> budget = RetryBudget(share=0.5, saved=0.0)
    >>> budget.request_started(); budget.request_started()
    >>> budget.try_spend(), budget.try_spend()
    (True, False)
    """

    share: float = DEFAULT_SHARE
    saved: float = INITIAL_RETRIES

    def request_started(self) -> None:
        """Count one request, not its retries."""
        self.saved = min(MAX_SAVED_RETRIES, self.saved + self.share)

    def try_spend(self) -> bool:
        """Return whether one more attempt may start, and count it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
