"""Generation of the marked tables in ``docs/CAPACITY.md``."""

import math
import pathlib
import re
from collections.abc import Iterable

from bench.capacity.fit import Slope, Slopes
from bench.capacity.sums import build_projections
from bench.capacity.target import Projection

__all__ = ["render_projections", "render_slopes", "rewrite_block", "rewrite_page"]

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
        f"| {slope.role} | {slope.description} ({slope.unit}) | `{slope.module}` "
        f"| {slope.axis} | {points} | {_format(slope.per_unit)} "
        f"| {_format(slope.intercept)} | {slope.residual:.1%} |"
    )


def _render_projection(row: Projection) -> str:
    limit, verdict = "", ""
    if not math.isinf(row.limit):
        limit = f"{_format(row.limit)}"
        ratio = row.value / row.limit
        verdict = "yes" if row.is_within_limit else f"**no**, {_format(ratio)} times"
    return (
        f"| {row.role} | {row.description} | {row.formula} "
        f"| {_format(row.value)} {row.unit} | {limit} | {verdict} |"
    )


def render_slopes(slopes: Iterable[Slope]) -> str:
    """Render linear fits as a table."""
    head = (
        "| role | what | carried by | axis | measured | slope | intercept "
        "| residual |\n"
        "|---|---|---|---|---|---|---|---|"
    )
    return "\n".join([head, *map(_render_slope, slopes)])


def render_projections(rows: Iterable[Projection]) -> str:
    """Render projections as a table."""
    head = "| role | what | sum | result | limit | fits |\n|---|---|---|---|---|---|"
    return "\n".join([head, *map(_render_projection, rows)])


def _replace_block(text: str, name: str, body: str) -> str:
    begin, end = _BEGIN.format(name=name), _END.format(name=name)
    pattern = re.compile(re.escape(begin) + ".*?" + re.escape(end), re.DOTALL)
    if not pattern.search(text):
        raise ValueError(f"the page has no block of generated text named {name!r}")
    return pattern.sub(lambda _: f"{begin}\n{body}\n{end}", text)


def rewrite_block(path: pathlib.Path, name: str, body: str) -> None:
    """Replace one generated block of the page."""
    path.write_text(_replace_block(path.read_text(), name, body))


def rewrite_page(path: pathlib.Path, slopes: Slopes, *, note: str) -> None:
    """Replace the note and the tables of fits and projections in the page."""
    text = path.read_text()
    text = _replace_block(text, "run", note)
    text = _replace_block(text, "slopes", render_slopes(slopes))
    text = _replace_block(text, "sums", render_projections(build_projections(slopes)))
    path.write_text(text)
