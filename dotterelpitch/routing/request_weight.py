"""The weight of a request: its expected load in tokens.

Generated tokens count in full. Prompt tokens are processed many at a time, so
each counts as a fraction of a token; those that an engine has cached are free.
"""

from collections import OrderedDict

BYTES_PER_TOKEN = 4.0
# The load of a prompt token relative to that of a generated token.
PROMPT_TOKEN_COST = 0.1
# Assumed until a response for the account and model has been observed.
DEFAULT_OUTPUT_TOKENS = 200.0
MIN_WEIGHT_TOKENS = 1.0
# The weight of the latest response in the moving average.
EWMA_WEIGHT = 0.2
MAX_TRACKED_AVERAGES = 10_000


def expected_tokens(
    prompt_bytes: int, output_tokens: float, cached_bytes: int = 0
) -> float:
    """Return the weight of a request in tokens, at least ``MIN_WEIGHT_TOKENS``.

    ``output_tokens`` is the expected length of the response, and
    ``cached_bytes`` the part of the prompt that the engine has cached.

    >>> expected_tokens(prompt_bytes=4000, output_tokens=100)
    200.0
    """
    new_bytes = max(0, prompt_bytes - cached_bytes)
    prompt_cost = new_bytes / BYTES_PER_TOKEN * PROMPT_TOKEN_COST
    return max(MIN_WEIGHT_TOKENS, prompt_cost + output_tokens)


class OutputEstimator:
    """Estimates the number of tokens in the responses to an account's calls.

    The estimate is an exponentially weighted moving average (EWMA) per account
    and model, never above the limit that the caller sets on the response. The
    averages of the ``MAX_TRACKED_AVERAGES`` most recently updated pairs are kept.
    """

    def __init__(self) -> None:
        self._average_by_account_and_model: OrderedDict[tuple[str, str], float] = (
            OrderedDict()
        )

    def estimate(self, account: str, model: str, max_tokens: int = 0) -> float:
        """Return the expected output in tokens; ``max_tokens=0`` means no limit."""
        key = (account, model)
        average = self._average_by_account_and_model.get(key, DEFAULT_OUTPUT_TOKENS)
        return min(average, max_tokens) if max_tokens > 0 else average

    def observe(self, account: str, model: str, output_tokens: int) -> None:
        """Update the average with the length of one complete response."""
        key = (account, model)
        average = self._average_by_account_and_model.get(key, DEFAULT_OUTPUT_TOKENS)
        average += EWMA_WEIGHT * (output_tokens - average)
        self._average_by_account_and_model[key] = average
        self._average_by_account_and_model.move_to_end(key)
        if len(self._average_by_account_and_model) > MAX_TRACKED_AVERAGES:
            self._average_by_account_and_model.popitem(last=False)
