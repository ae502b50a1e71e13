"""The tables of ``docs/CAPACITY.md``, written between their markers."""

import math
import pathlib
import re
from collections.abc import Iterable

from bench.capacity.fit import Slope, Slopes
from bench.capacity.sums import build_rows
from bench.capacity.target import Row

__all__ = ["render_rows", "render_slopes", "rewrite_block", "rewrite_page"]

_BEGIN = "<!-- {name}: written by make capacity -->"
_END = "<!-- end of {name} -->"


def _format(value: float) -> str:
    if value and abs(value) < 0.01:
        return f"{value:.2g}"
    if abs(value) < 100:
        return f"{value:.3g}"
    return f"{value:,.0f}"


def _render_slope(slope: Slope) -> str:
    points = ", ".join(
        f"{_format(x)}: {_format(y)}"
        for x, y in zip(slope.sizes, slope.values, strict=True)
    )
    return (
        f"| {slope.role} | {slope.what} ({slope.unit}) | `{slope.module}` "
        f"| {slope.axis} | {points} | {_format(slope.per_unit)} "
        f"| {_format(slope.intercept)} | {slope.residual:.1%} |"
    )


def _render_row(row: Row) -> str:
    limit, verdict = "", ""
    if not math.isinf(row.limit):
        limit = f"{_format(row.limit)}"
        ratio = row.value / row.limit
        verdict = "yes" if row.fits else f"**no**, {_format(ratio)} times"
    return (
        f"| {row.role} | {row.what} | {row.sum} | {_format(row.value)} {row.unit} "
        f"| {limit} | {verdict} |"
    )


def render_slopes(slopes: Iterable[Slope]) -> str:
    """Render lines as a table."""
    head = (
        "| role | what | carried by | axis | measured | slope | intercept "
        "| residual |\n"
        "|---|---|---|---|---|---|---|---|"
    )
    return "\n".join([head, *map(_render_slope, slopes)])


def render_rows(rows: Iterable[Row]) -> str:
    """Render figures at the size aimed at as a table."""
    head = "| role | what | sum | result | limit | fits |\n|---|---|---|---|---|---|"
    return "\n".join([head, *map(_render_row, rows)])


def _replace(text: str, name: str, body: str) -> str:
    begin, end = _BEGIN.format(name=name), _END.format(name=name)
    pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.DOTALL)
    if not pattern.search(text):
        raise ValueError(f"the page has no place for {name}")
    return pattern.sub(lambda _: f"{begin}\n{body}\n{end}", text)


def rewrite_block(path: pathlib.Path, name: str, body: str) -> None:
    """Write one table into the page, leaving the rest as it is."""
    path.write_text(_replace(path.read_text(), name, body))


def rewrite_page(path: pathlib.Path, slopes: Slopes, *, note: str) -> None:
    """Write the tables into the page, leaving the rest as it is."""
    text = path.read_text()
    text = _replace(text, "run", note)
    text = _replace(text, "slopes", render_slopes(slopes))
    text = _replace(text, "sums", render_rows(build_rows(slopes)))
    path.write_text(text)
