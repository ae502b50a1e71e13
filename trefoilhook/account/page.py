"""The account as text and as a self-contained page with plots."""

import html
from collections.abc import Callable, Mapping, Sequence

from matplotlib.figure import Figure

from trefoilhook.account.core import Account, Cause, Moment
from trefoilhook.burn.page import STYLE, build_table, draw_svg, pad_columns

__all__ = ["render_html", "render_text"]

_MS_PER_S = 1000.0
_FIGURE_INCHES = (8.0, 3.2)
_BAR_SHARE = 0.9

_JOB_HEADERS = ("queue", "judged", "good", "cause", "jobs lost", "late s")
_SERVICE_HEADERS = ("queue", "jobs short", "periods", "cause", "task s")

Rows = list[tuple[str, ...]]


def _rank(sums: Mapping[Cause, float]) -> list[Cause]:
    return sorted(sums, key=lambda cause: (-sums[cause], cause.value))


def _list_job_rows(account: Account) -> Rows:
    rows: Rows = []
    for queue in account.queues:
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
            for cause in _rank(queue.lost)
        ]
    return rows


def _list_service_rows(account: Account) -> Rows:
    rows: Rows = []
    for queue in account.services:
        rows.append((queue.queue, str(queue.jobs), str(queue.periods), "", ""))
        rows += [
            ("", "", "", cause.value, f"{queue.task_s[cause]:.0f}")
            for cause in _rank(queue.task_s)
        ]
    return rows


def _list_moment_rows(account: Account) -> Rows:
    return [
        (
            f"{moment.at_s:.0f}",
            _list_sums(moment.jobs),
            _list_sums(moment.task_s),
        )
        for moment in account.moments
    ]


def _list_sums(sums: Mapping[Cause, float]) -> str:
    return ", ".join(f"{cause.value} {sums[cause]:.0f}" for cause in _rank(sums))


def _describe_unread(account: Account) -> str:
    reasons = ", ".join(f"{count} {why}" for why, count in account.unread.items())
    return f"lines left out: {reasons}" if reasons else "no line was left out"


def render_text(account: Account) -> str:
    """Return the account as lines of text."""
    length_s = account.ended_s - account.began_s
    lines = [f"account of {length_s:.0f} s; {_describe_unread(account)}"]
    if account.queues:
        lines += ["", *pad_columns([_JOB_HEADERS, *_list_job_rows(account)])]
    if account.services:
        lines += ["", *pad_columns([_SERVICE_HEADERS, *_list_service_rows(account)])]
    if account.moments:
        headers = ("from s", "jobs lost", "service task s lost")
        lines += ["", *pad_columns([headers, *_list_moment_rows(account)])]
    return "\n".join(lines)


def _draw(
    account: Account, label: str, read: Callable[[Moment], Mapping[Cause, float]]
) -> str:
    """Return stacked bars of what was lost at which moment, as SVG."""
    figure = Figure(figsize=_FIGURE_INCHES, layout="constrained")
    axes = figure.subplots()
    starts = [moment.at_s for moment in account.moments]
    width = _BAR_SHARE * _find_step(starts)
    floor = [0.0] * len(starts)
    causes = {cause for moment in account.moments for cause in read(moment)}
    for cause in sorted(causes, key=lambda cause: cause.value):
        heights = [float(read(moment).get(cause, 0.0)) for moment in account.moments]
        axes.bar(starts, heights, width, bottom=floor, align="edge", label=cause.value)
        floor = [low + high for low, high in zip(floor, heights, strict=True)]
    axes.set_xlabel("s")
    axes.set_ylabel(label)
    if causes:
        axes.legend(loc="upper left", fontsize="small")
    return draw_svg(figure)


def _find_step(starts: Sequence[float]) -> float:
    steps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
    return min(steps, default=1.0)


def render_html(account: Account) -> str:
    """Return the account as one HTML page that fetches nothing."""
    return "\n".join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f"<title>Account of lost worth</title><style>{STYLE}</style></head><body>",
            "<h1>Account of lost worth</h1>",
            f"<p>{account.ended_s - account.began_s:.0f} s; "
            f"{html.escape(_describe_unread(account))}</p>",
            "<h2>Jobs with an objective</h2>",
            build_table(_JOB_HEADERS, _list_job_rows(account)),
            _draw(account, "jobs lost", lambda moment: moment.jobs),
            "<h2>Long-running jobs</h2>",
            build_table(_SERVICE_HEADERS, _list_service_rows(account)),
            _draw(account, "task s lost", lambda moment: moment.task_s),
            "</body></html>\n",
        )
    )
