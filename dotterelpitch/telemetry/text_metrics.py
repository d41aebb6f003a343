"""Counters, gauges, and histograms in the Prometheus text format.

Used by processes for which the OpenTelemetry SDK is too expensive: it takes a tenth
of a second at startup and several megabytes. The output format is the same.
"""

from bisect import bisect_left
from collections.abc import Callable, Iterable

from attrs import define, field

SECONDS_BUCKETS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.6,
    1.0,
    2.5,
    5.0,
    10.0,
)
# Further label sets share one series, which bounds the cardinality of labels.
MAX_SERIES_PER_METRIC = 500
OVERFLOW_LABEL = "other"

LabelValues = tuple[str, ...]


@define
class MetricFamily:
    """The name, help text, and label names of a metric."""

    name: str
    help: str
    label_names: tuple[str, ...]

    def header_lines(self, kind: str) -> list[str]:
        """Return the HELP and TYPE lines; ``kind`` is the metric type."""
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} {kind}"]

    def labels(self, values: Iterable[str], *extra_pairs: str) -> str:
        """Return the labels of one series, such as ``{route="r1"}``.

        ``extra_pairs`` are appended as they are. Without labels the text is empty.
        """
        pairs = [
            f'{name}="{_escape(value)}"'
            for name, value in zip(self.label_names, values, strict=True)
        ]
        pairs += extra_pairs
        return "{" + ",".join(pairs) + "}" if pairs else ""


@define
class Counter(MetricFamily):
    """A value per series that only increases.

    >>> counter = Counter("requests_total", "Requests.", ("route",))
    >>> counter.add("r1")
    >>> counter.render()[-1]
    'requests_total{route="r1"} 1'
    """

    _value_by_labels: dict[LabelValues, float] = field(factory=dict)

    def add(self, *labels: str, value: float = 1) -> None:
        """Add ``value`` to the series of ``labels``."""
        series = _series_labels(self._value_by_labels, labels)
        self._value_by_labels[series] = self._value_by_labels.get(series, 0) + value

    def render(self) -> list[str]:
        """Return the lines of all series."""
        lines = self.header_lines("counter")
        for labels, value in self._value_by_labels.items():
            lines.append(f"{self.name}{self.labels(labels)} {value:g}")
        return lines


@define
class Gauge(MetricFamily):
    """Values that are read from a callback at each scrape."""

    _read: Callable[[], Iterable[tuple[LabelValues, float]]]

    def render(self) -> list[str]:
        """Return the lines of all series."""
        lines = self.header_lines("gauge")
        for labels, value in self._read():
            lines.append(f"{self.name}{self.labels(labels)} {value:g}")
        return lines


@define
class Histogram(MetricFamily):
    """Durations in seconds, counted per bucket."""

    _counts_by_labels: dict[LabelValues, list[int]] = field(factory=dict)
    _sum_by_labels: dict[LabelValues, float] = field(factory=dict)

    def observe(self, seconds: float, *labels: str) -> None:
        """Add one duration to the series of ``labels``."""
        series = _series_labels(self._counts_by_labels, labels)
        counts = self._counts_by_labels.get(series)
        if counts is None:
            counts = [0] * (len(SECONDS_BUCKETS) + 1)
            self._counts_by_labels[series] = counts
        counts[bisect_left(SECONDS_BUCKETS, seconds)] += 1
        self._sum_by_labels[series] = self._sum_by_labels.get(series, 0.0) + seconds

    def render(self) -> list[str]:
        """Return the lines of all series."""
        lines = self.header_lines("histogram")
        for labels, counts in self._counts_by_labels.items():
            lines += self._render_series(labels, counts)
        return lines

    def _render_series(self, labels: LabelValues, counts: list[int]) -> list[str]:
        lines = []
        total = 0
        bounds = [f"{bound:g}" for bound in SECONDS_BUCKETS] + ["+Inf"]
        for bound, count in zip(bounds, counts, strict=True):
            total += count
            label_text = self.labels(labels, f'le="{bound}"')
            lines.append(f"{self.name}_bucket{label_text} {total}")
        label_text = self.labels(labels)
        lines.append(f"{self.name}_sum{label_text} {self._sum_by_labels[labels]:g}")
        lines.append(f"{self.name}_count{label_text} {total}")
        return lines


def render_text(families: Iterable[Counter | Gauge | Histogram]) -> str:
    """Return the text of all metric families for a scrape."""
    lines = [line for family in families for line in family.render()]
    return "\n".join(lines) + "\n"


def _series_labels(
    series: dict[LabelValues, object], labels: LabelValues
) -> LabelValues:
    if labels in series or len(series) < MAX_SERIES_PER_METRIC:
        return labels
    return (OVERFLOW_LABEL,) * len(labels)


def _escape(value: str) -> str:
    return str(value).replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
