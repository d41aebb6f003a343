"""Report of a load run: times, outcomes, cache reuse, and skew."""

from collections import Counter
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from dotterelpitch.load.caller import Answer

MAX_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 90, 95, 99, 99.9)


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of times in microseconds."""
    return HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)


def record_seconds(histogram: HdrHistogram, seconds: float) -> None:
    """Add a time to ``histogram``, limited to the histogram's range."""
    histogram.record_value(max(1, min(MAX_MICROSECONDS, int(seconds * 1e6))))


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile of ``histogram`` in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000


@attrs.define
class Report:
    """Collects answers and formats them as the text that the command prints.

    ``returning`` counts the follow-up turns of chats, and ``returning_warm`` those
    that found cached tokens. ``most_late`` is the longest delay, in seconds, of a
    turn's start after its scheduled time.
    """

    first_token: HdrHistogram = attrs.field(factory=new_histogram)
    between_tokens: HdrHistogram = attrs.field(factory=new_histogram)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    errors: Counter[str] = attrs.field(factory=Counter)
    requests_by_engine: Counter[str] = attrs.field(factory=Counter)
    tokens_by_engine: Counter[str] = attrs.field(factory=Counter)
    returning_prompt_tokens: int = 0
    returning_cached_tokens: int = 0
    returning: int = 0
    returning_warm: int = 0
    wrong_text: int = 0
    most_late: float = 0.0

    def add(self, answer: Answer, returning: bool) -> None:
        """Count one answer."""
        self.outcomes[_outcome_label(answer)] += 1
        if not answer.is_complete:
            self.errors[answer.error[:100]] += 1
            return
        record_seconds(self.first_token, answer.first_token)
        for gap in answer.gaps:
            record_seconds(self.between_tokens, gap)
        self.requests_by_engine[answer.engine] += 1
        self.tokens_by_engine[answer.engine] += answer.tokens
        if returning:
            self.returning += 1
            self.returning_warm += answer.cached_tokens > 0
            self.returning_prompt_tokens += answer.prompt_tokens
            self.returning_cached_tokens += answer.cached_tokens

    def lines(self, engine_stats: list[dict[str, Any]] | None = None) -> list[str]:
        """Return the lines of the report.

        ``engine_stats`` are statistics of stand-in engines, one line for each.
        """
        names = "".join(f"{f'p{p:g}':>10}" for p in PERCENTILES)
        lines = [
            f"{'milliseconds':<16}{names}",
            _format_percentiles("first token", self.first_token),
            _format_percentiles("between tokens", self.between_tokens),
            f"outcomes: {dict(self.outcomes)}",
            f"returning turns: {self.returning}, warm: {_format_reuse(self)}",
            f"skew (requests, max/mean): {skew(self.requests_by_engine):.2f}",
            f"wrong answers: {self.wrong_text}",
            f"latest start behind schedule: {self.most_late * 1000:.1f} ms",
        ]
        lines += [f"error x{count}: {text}" for text, count in self.errors.items()]
        lines += [_format_engine_stats(stats) for stats in engine_stats or []]
        return lines


def skew(count_by_engine: dict[str, int], engines: int = 0) -> float:
    """Return the ratio of the largest count to the mean, or 0 without any count.

    ``engines`` is the number of engines, including those without requests.

    >>> skew({"e1": 3, "e2": 1})
    1.5
    """
    total = sum(count_by_engine.values())
    if not total:
        return 0.0
    mean = total / max(engines, len(count_by_engine))
    return max(count_by_engine.values()) / mean


def _outcome_label(answer: Answer) -> str:
    if answer.is_complete:
        return f"{answer.status} whole"
    return f"{answer.status or 'no answer'} {answer.outcome or 'broken'}"


def _format_percentiles(name: str, histogram: HdrHistogram) -> str:
    values = "".join(f"{percentile_ms(histogram, p):>10.2f}" for p in PERCENTILES)
    return f"{name:<16}{values}"


def _format_reuse(report: Report) -> str:
    turns = report.returning_warm / max(1, report.returning)
    tokens = report.returning_cached_tokens / max(1, report.returning_prompt_tokens)
    return f"{turns:.1%} of the turns, {tokens:.1%} of their prompt tokens"


def _format_engine_stats(stats: dict[str, Any]) -> str:
    reuse = stats["cached_tokens"] / max(1, stats["prompt_tokens"])
    return (
        f"engine {stats['name']}: {stats['requests']} requests, "
        f"{stats['tokens']} tokens, reuse {reuse:.1%}, "
        f"most at once {stats['max_in_flight']}, cancelled {stats['cancelled']}"
    )
