"""Table and plot of a comparison."""

import pathlib
from collections.abc import Sequence

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from bench.experiments.comparison import Comparison

__all__ = ["build_table", "draw_plot"]


def _format_difference(value: float | None) -> str:
    return "" if value is None else f"{value:+.3f}"


def build_table(rows: Sequence[Comparison]) -> str:
    """Format the comparison as a Markdown table."""
    lines = [
        "| plays of | version | plays | mean | worst | failed | broken | difference |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        difference = _format_difference(row.difference)
        if row.low is not None:
            difference += (
                f" ({_format_difference(row.low)} to {_format_difference(row.high)})"
            )
        lines.append(
            f"| {row.group} | {row.version} | {row.runs} | {row.mean:.3f} "
            f"| {row.worst:.3f} | {row.failed:.3f} | {row.broken} | {difference} |"
        )
    return "\n".join(lines)


def draw_plot(rows: Sequence[Comparison], path: pathlib.Path) -> None:
    """Plot the mean differences with confidence intervals, one row per comparison."""
    shown = [row for row in rows if row.low is not None and row.high is not None]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.25 * len(shown)))
    for number, row in enumerate(reversed(shown)):
        assert row.difference is not None
        axes.plot([row.low, row.high], [number, number], color="tab:blue")
        axes.plot(row.difference, number, "o", color="tab:blue")
    labels = [f"{row.group}, {row.version}" for row in reversed(shown)]
    axes.set_yticks(range(len(shown)), labels, fontsize=7)
    axes.axvline(0.0, color="black", linewidth=0.5)
    axes.set_xlabel("difference of worth")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
