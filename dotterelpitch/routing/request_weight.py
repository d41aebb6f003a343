"""The expected load of a request, in tokens of generation.

Generated tokens count in full. Prompt tokens are read many at a time, so each
counts as a small part of a token; those that an engine has cached are free.
"""

from collections import OrderedDict

BYTES_PER_TOKEN = 4.0
PROMPT_TOKEN_COST = 0.1
DEFAULT_OUTPUT_TOKENS = 200.0
MIN_WEIGHT_TOKENS = 1.0
SMOOTHING = 0.2
MAX_REMEMBERED_SOURCES = 10_000


def expected_tokens(
    prompt_bytes: int, output_tokens: float, cached_bytes: int = 0
) -> float:
    """Return the weight of a request in tokens.

    >>> expected_tokens(prompt_bytes=4000, output_tokens=100)
    200.0
    """
    new_bytes = max(0, prompt_bytes - cached_bytes)
    prompt_cost = new_bytes / BYTES_PER_TOKEN * PROMPT_TOKEN_COST
    return max(MIN_WEIGHT_TOKENS, prompt_cost + output_tokens)


class OutputEstimator:
    """Learns how many tokens the answers to one account's calls have.

    The estimate is a moving average per account and model, never above the
    limit that the caller itself sets on the answer.
    """

    def __init__(self) -> None:
        self._average_by_source: OrderedDict[tuple[str, str], float] = OrderedDict()

    def estimate(self, account: str, model: str, max_tokens: int = 0) -> float:
        """Return the expected output in tokens; 0 in ``max_tokens`` is no limit."""
        source = (account, model)
        average = self._average_by_source.get(source, DEFAULT_OUTPUT_TOKENS)
        return min(average, max_tokens) if max_tokens > 0 else average

    def observe(self, account: str, model: str, output_tokens: int) -> None:
        """Take in the length of one whole answer."""
        source = (account, model)
        average = self._average_by_source.get(source, DEFAULT_OUTPUT_TOKENS)
        average += SMOOTHING * (output_tokens - average)
        self._average_by_source[source] = average
        self._average_by_source.move_to_end(source)
        if len(self._average_by_source) > MAX_REMEMBERED_SOURCES:
            self._average_by_source.popitem(last=False)
