"""Renders the loss report as text and as a self-contained HTML page with plots."""

import html
from collections.abc import Callable, Mapping, Sequence

from matplotlib.figure import Figure

from trefoilhook.account.core import Cause, LossReport, TimeBin
from trefoilhook.burn.page import STYLE, align_columns, build_table, draw_svg

__all__ = ["render_html", "render_text"]

_MS_PER_S = 1000.0
_FIGURE_INCHES = (8.0, 3.2)
_BAR_WIDTH_RATIO = 0.9

_JOB_HEADERS = ("queue", "judged", "good", "cause", "jobs lost", "late s")
_SERVICE_HEADERS = ("queue", "jobs short", "periods", "cause", "task s")
_COPY_HEADERS = ("copies", "number", "saved s", "not needed s")

_SIZE_HEADERS = (
    "queue",
    "size",
    "jobs",
    "in time",
    "late",
    "too late",
    "failed",
    "refused",
    "waited s",
    "overtaken",
    "by smaller",
)

Rows = list[tuple[str, ...]]


def _sort_causes(sums: Mapping[Cause, float]) -> list[Cause]:
    return sorted(sums, key=lambda cause: (-sums[cause], cause.value))


def _list_job_rows(report: LossReport) -> Rows:
    rows: Rows = []
    for queue in report.queues:
        rows.append((queue.queue, str(queue.judged), str(queue.good), "", "", ""))
        rows += [
            (
                "",
                "",
                "",
                cause.value,
                str(queue.lost[cause]),
                f"{queue.late_ms[cause] / _MS_PER_S:.1f}",
            )
            for cause in _sort_causes(queue.lost)
        ]
    return rows


def _list_service_rows(report: LossReport) -> Rows:
    rows: Rows = []
    for queue in report.services:
        rows.append((queue.queue, str(queue.jobs), str(queue.periods), "", ""))
        rows += [
            ("", "", "", cause.value, f"{queue.task_s[cause]:.0f}")
            for cause in _sort_causes(queue.task_s)
        ]
    return rows


def _list_copy_rows(report: LossReport) -> Rows:
    return [
        (
            each.how,
            str(each.copies),
            f"{each.saved_ms / _MS_PER_S:.1f}",
            f"{each.wasted_ms / _MS_PER_S:.1f}",
        )
        for each in report.copies
    ]


def _list_size_rows(report: LossReport) -> Rows:
    return [
        (
            each.queue,
            each.size,
            *(
                str(count)
                for count in (
                    each.jobs,
                    each.in_time,
                    each.late,
                    each.too_late,
                    each.failed,
                    each.refused,
                )
            ),
            f"{each.waited_s:.1f}",
            f"{each.overtaken:.0f}",
            f"{each.overtaken_by_smaller:.0f}",
        )
        for each in report.sizes
    ]


def _list_bin_rows(report: LossReport) -> Rows:
    return [
        (
            f"{time_bin.at_s:.0f}",
            _format_sums(time_bin.jobs),
            _format_sums(time_bin.task_s),
        )
        for time_bin in report.moments
    ]


def _format_sums(sums: Mapping[Cause, float]) -> str:
    return ", ".join(f"{cause.value} {sums[cause]:.0f}" for cause in _sort_causes(sums))


def _describe_unread(report: LossReport) -> str:
    reasons = ", ".join(f"{count} {reason}" for reason, count in report.unread.items())
    return f"lines left out: {reasons}" if reasons else "no line was left out"


def render_text(report: LossReport) -> str:
    """Return the report as text."""
    length_s = report.ended_s - report.began_s
    lines = [f"account of {length_s:.0f} s; {_describe_unread(report)}"]
    if report.queues:
        lines += ["", *align_columns([_JOB_HEADERS, *_list_job_rows(report)])]
    if report.sizes:
        lines += ["", *align_columns([_SIZE_HEADERS, *_list_size_rows(report)])]
    if report.services:
        lines += ["", *align_columns([_SERVICE_HEADERS, *_list_service_rows(report)])]
    if report.copies:
        lines += ["", *align_columns([_COPY_HEADERS, *_list_copy_rows(report)])]
    if report.moments:
        headers = ("from s", "jobs lost", "service task s lost")
        lines += ["", *align_columns([headers, *_list_bin_rows(report)])]
    return "\n".join(lines)


def _draw(
    report: LossReport, label: str, read: Callable[[TimeBin], Mapping[Cause, float]]
) -> str:
    """Return an SVG bar chart of the losses over time, stacked by cause."""
    figure = Figure(figsize=_FIGURE_INCHES, layout="constrained")
    axes = figure.subplots()
    starts = [time_bin.at_s for time_bin in report.moments]
    width = _BAR_WIDTH_RATIO * _find_bin_width(starts)
    bottoms = [0.0] * len(starts)
    causes = {cause for time_bin in report.moments for cause in read(time_bin)}
    for cause in sorted(causes, key=lambda cause: cause.value):
        heights = [float(read(time_bin).get(cause, 0.0)) for time_bin in report.moments]
        axes.bar(
            starts, heights, width, bottom=bottoms, align="edge", label=cause.value
        )
        bottoms = [base + height for base, height in zip(bottoms, heights, strict=True)]
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    if causes:
        axes.legend(loc="upper left", fontsize="small")
    return draw_svg(figure)


def _find_bin_width(starts: Sequence[float]) -> float:
    steps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    return min(steps, default=1.0)


def render_html(report: LossReport) -> str:
    """Return the report as an HTML page that loads no external resources."""
    return "\n".join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f"<title>Account of lost worth</title><style>{STYLE}</style></head><body>",
            "<h1>Account of lost worth</h1>",
            f"<p>{report.ended_s - report.began_s:.0f} s; "
            f"{html.escape(_describe_unread(report))}</p>",
            "<h2>Jobs with an objective</h2>",
            build_table(_JOB_HEADERS, _list_job_rows(report)),
            _draw(report, "jobs lost", lambda time_bin: time_bin.jobs),
            "<h2>Jobs by size</h2>",
            build_table(_SIZE_HEADERS, _list_size_rows(report)),
            "<h2>Long-running jobs</h2>",
            build_table(_SERVICE_HEADERS, _list_service_rows(report)),
            _draw(report, "task s lost", lambda time_bin: time_bin.task_s),
            "</body></html>\n",
        )
    )
