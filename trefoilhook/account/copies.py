"""Sums up the copies of speculative tasks from log lines."""

from collections.abc import Iterable

import attrs

from trefoilhook.story import LogLine

__all__ = ["CopyTotals", "sum_copies"]


@attrs.frozen(kw_only=True)
class CopyTotals:
    """Copies of speculative tasks with one outcome.

    Parameters
    ----------
    how : str
        Outcome, as in the log lines.
    copies : int
        Number of copies.
    saved_ms, wasted_ms : float
        Estimated time saved, and run time of runs that were not needed, in ms.
    """

    how: str
    copies: int
    saved_ms: float
    wasted_ms: float


def sum_copies(lines: Iterable[LogLine]) -> tuple[CopyTotals, ...]:
    """Return the totals of all settled copies by outcome."""
    totals: dict[str, CopyTotals] = {}
    for line in lines:
        if line.event != "COPY_SETTLED":
            continue
        how = str(line.fields.get("how"))
        saved_ms = line.fields.get("saved_ms")
        wasted_ms = line.fields.get("wasted_ms")
        if not isinstance(saved_ms, int) or not isinstance(wasted_ms, int):
            continue
        known = totals.get(how)
        totals[how] = CopyTotals(
            how=how,
            copies=1 + (known.copies if known else 0),
            saved_ms=saved_ms + (known.saved_ms if known else 0.0),
            wasted_ms=wasted_ms + (known.wasted_ms if known else 0.0),
        )
    return tuple(totals[how] for how in sorted(totals))
