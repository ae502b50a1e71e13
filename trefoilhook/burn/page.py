"""Renders the burn report as text and as a self-contained HTML page with plots."""

import html
import io
from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

import matplotlib as mpl
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from trefoilhook.burn.core import BurnReport, ServiceBurn

__all__ = [
    "STYLE",
    "align_columns",
    "build_table",
    "draw_svg",
    "render_html",
    "render_text",
]

_MS_PER_S = 1000.0
_THRESHOLDS = ((1.0, "budget"), (6.0, "page, 6h"), (14.4, "page, 1h"))
_FIGURE_INCHES = (8.0, 3.6)
_HASH_SALT = "trefoilhook"

STYLE = """
body { font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { padding: .2em .8em; border-bottom: 1px solid #ccc; text-align: right; }
td:first-child, th:first-child { text-align: left; }
.page { color: #b00020; font-weight: bold; } .ticket { color: #a05a00; }
"""

_HEADERS = (
    "service",
    "objective",
    "alert",
    "budget left",
    "burn 5m",
    "1h",
    "6h",
    "3d",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
)


def _format_time(at_ms: float) -> str:
    at = datetime.fromtimestamp(at_ms / _MS_PER_S, tz=UTC)
    return at.isoformat(timespec="seconds")


def _build_cells(burn: ServiceBurn) -> tuple[str, ...]:
    rates = {window.window: window.burn_rate for window in burn.windows}
    return (
        f"{burn.team}/{burn.service}",
        f"{burn.target:.3%} in {burn.latency_ms:g} ms",
        burn.alert.value,
        f"{burn.budget_left:.1%}",
        *(f"{rates.get(window, 0.0):.2f}" for window in ("5m", "1h", "6h", "3d")),
        f"{burn.p50_ms:.1f}",
        f"{burn.p99_ms:.1f}",
        f"{burn.p999_ms:.1f}",
    )


def align_columns(rows: Sequence[tuple[str, ...]]) -> Iterator[str]:
    """Yield the lines of a table whose columns are aligned."""
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        yield "  ".join(cells).rstrip()


def render_text(report: BurnReport) -> str:
    """Return the report as text."""
    lines = [
        f"service-level burn at {_format_time(report.at_ms)}; "
        f"budget period {report.period}; {len(report.sources)} instances counted"
    ]
    if not report.services:
        return "\n".join((*lines, "no requests were counted"))
    services = [_HEADERS, *(_build_cells(burn) for burn in report.services)]
    teams = [("team", "good", "bad", "budget left")]
    teams += [
        (row.team, str(row.good), str(row.bad), f"{row.budget_left:.1%}")
        for row in report.teams
    ]
    return "\n".join((*lines, "", *align_columns(services), "", *align_columns(teams)))


def _draw_service(burn: ServiceBurn) -> str:
    """Return an SVG plot of a service's hourly burn rate and requests."""
    times = [
        datetime.fromtimestamp(point.at_ms / _MS_PER_S, tz=UTC) for point in burn.series
    ]
    figure = Figure(figsize=_FIGURE_INCHES, layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    upper.step(times, [point.burn_rate for point in burn.series], where="post")
    for limit, label in _THRESHOLDS:
        upper.axhline(limit, linestyle=":", linewidth=0.8, color="#a05a00")
        upper.annotate(label, (1.0, limit), xycoords=("axes fraction", "data"))
    upper.set_ylabel("burn rate")
    lower.step(times, [point.good for point in burn.series], label="good")
    lower.step(times, [point.bad for point in burn.series], label="bad")
    lower.set_ylabel("requests/h")
    lower.legend(loc="upper left")
    figure.autofmt_xdate()
    return draw_svg(figure)


def draw_svg(figure: Figure) -> str:
    """Return a figure as SVG; equal figures give equal SVG."""
    with mpl.rc_context({"svg.fonttype": "none", "svg.hashsalt": _HASH_SALT}):
        FigureCanvasSVG(figure)
        buffer = io.StringIO()
        figure.savefig(buffer, format="svg", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def _build_row(cells: tuple[str, ...], tag: str) -> str:
    inner = "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{inner}</tr>"


def build_table(headers: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Return an HTML table."""
    body = "\n".join(_build_row(row, "td") for row in rows)
    return f"<table>\n{_build_row(headers, 'th')}\n{body}\n</table>"


def _build_section(burn: ServiceBurn) -> str:
    name = html.escape(f"{burn.team}/{burn.service}")
    alert = burn.alert.value
    windows = [
        (window.window, str(window.good), str(window.bad), f"{window.burn_rate:.2f}")
        for window in burn.windows
    ]
    return "\n".join(
        (
            f'<h2>{name} <span class="{alert}">{alert}</span></h2>',
            build_table(("window", "good", "bad", "burn rate"), windows),
            _draw_service(burn) if burn.series else "",
        )
    )


def render_html(report: BurnReport) -> str:
    """Return the report as an HTML page that loads no external resources."""
    services = [_build_cells(burn) for burn in report.services]
    instances = [
        (
            row.instance_id,
            _format_time(row.started_ms),
            _format_time(row.counted_until_ms),
        )
        for row in report.sources
    ]
    return "\n".join(
        (
            '<!doctype html><html lang="en"><head><meta charset="utf-8">',
            f"<title>Service-level burn</title><style>{STYLE}</style></head><body>",
            f"<h1>Service-level burn</h1><p>{_format_time(report.at_ms)}, "
            f"budget period {html.escape(report.period)}</p>",
            build_table(_HEADERS, services),
            *(_build_section(burn) for burn in report.services),
            "<h2>Instances counted</h2>",
            build_table(("instance", "started", "counted until"), instances),
            "</body></html>\n",
        )
    )
