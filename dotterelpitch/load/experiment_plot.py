"""Plot of the experiment: skew and reuse over utilisation, one line per strategy."""

from collections.abc import Mapping, Sequence

import matplotlib

from dotterelpitch.load.experiment_report import Row

matplotlib.use("agg")

from matplotlib import pyplot

TARGET_SKEW = 1.25
SIZE_INCHES = (9.0, 4.0)


def write_plot(
    path: str,
    utilisations: Sequence[float],
    rows_by_strategy: Mapping[str, Sequence[Row]],
) -> None:
    """Write the plot to ``path``; the file suffix determines the format."""
    figure, (left, right) = pyplot.subplots(1, 2, figsize=SIZE_INCHES)
    for name, rows in rows_by_strategy.items():
        left.plot(utilisations, [row.skew for row in rows], marker="o", label=name)
        right.plot(utilisations, [row.reuse for row in rows], marker="o")
    left.axhline(TARGET_SKEW, linestyle=":", color="grey")
    left.set(xlabel="utilisation", ylabel="highest over mean engine load")
    right.set(xlabel="utilisation", ylabel="prefix reuse", ylim=(0.0, 1.05))
    left.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
