"""Renders the report on interruptions as text."""

import datetime
from collections.abc import Iterator, Mapping

from trefoilhook.interruptions.core import (
    ACCEPTED,
    NO_OWNER,
    NOT_LOGGED,
    STARTED,
    Interruption,
    InterruptionReport,
    OwnerWait,
    Wait,
)

__all__ = ["MIN_SHOWN_S", "format_time", "join_counts", "render_text"]

MIN_SHOWN_S = 0.005
"""Shortest time without an owner or a logged reason that is shown, in s."""


def render_text(report: InterruptionReport) -> str:
    """Render a summary, then each interruption with one line per owner."""
    over = ", ".join(f"{count} over {limit} s" for limit, count in report.over.items())
    lines = [
        f"{len(report.interruptions)} interruptions of service tasks, "
        f"longest {report.longest_s:.2f} s; {over}"
    ]
    if report.reasons:
        lines.append(f"main reasons: {join_counts(report.reasons)}")
    if report.unread:
        lines.append(f"skipped lines: {join_counts(report.unread)}")
    if report.first_starts:
        longest_s = report.first_starts[0].duration_s
        lines.append(
            f"{len(report.first_starts)} waits for a first run, "
            f"longest {longest_s:.2f} s"
        )
    for interruption in (*report.interruptions, *report.first_starts):
        lines += ["", *_list_lines(interruption)]
    return "\n".join(lines)


def join_counts(counts: Mapping[str, int]) -> str:
    """Return counts by name as text."""
    return ", ".join(f"{name} {count}" for name, count in counts.items())


def _list_lines(interruption: Interruption) -> Iterator[str]:
    end = interruption.end
    is_first = end.evidence == ACCEPTED
    since = "its acceptance" if is_first else "its last run"
    yield (
        f"{interruption.task}  {interruption.duration_s:.2f} s since {since}, "
        f"mainly {interruption.main_reason}"
    )
    if is_first:
        yield f"  no run before, accepted {format_time(end.at_s)}"
    else:
        yield (
            f"  last run: attempt {interruption.last_attempt} on "
            f"{interruption.last_worker}, ended {format_time(end.at_s)} "
            f"({end.evidence})"
        )
    origin = "acceptance" if is_first else "end"
    for owner in interruption.owners:
        yield f"  {_describe_owner(owner, end.at_s, origin)}"
    if interruption.ownerless_s >= MIN_SHOWN_S:
        yield f"  {NO_OWNER}: {interruption.ownerless_s:.2f} s"
    at = format_time(interruption.until_s)
    if interruption.outcome == STARTED:
        yield (
            f"  next run: attempt {interruption.next_attempt} on "
            f"{interruption.next_worker}, started {at}"
        )
    else:
        yield f"  next run: {interruption.outcome} at {at}"


def _describe_owner(owner: OwnerWait, began_s: float, origin: str) -> str:
    """Return the line on one owner's part of a wait that began with ``origin``."""
    offset_s = owner.claimed_s - began_s
    claimed = f"claimed {abs(offset_s):.2f} s {'after' if offset_s > 0 else 'before'}"
    waits = [_describe_wait(wait) for wait in owner.waits]
    unlogged_s = owner.duration_s - sum(wait.duration_s for wait in owner.waits)
    if unlogged_s >= MIN_SHOWN_S:
        waits.append(f"{NOT_LOGGED} {unlogged_s:.2f} s")
    return (
        f"epoch {owner.epoch} on {owner.instance}, {claimed} the {origin}: "
        f"{owner.duration_s:.2f} s; {', '.join(waits)}"
    )


def _describe_wait(wait: Wait) -> str:
    awaited = f" ({' '.join(wait.awaits)})" if wait.awaits else ""
    mainly = "mainly " if wait.is_mixed else ""
    return f"{mainly}{wait.waits_for}{awaited} {wait.duration_s:.2f} s"


def format_time(time_s: float) -> str:
    """Return a time in s since the Unix epoch as date and time in UTC."""
    time = datetime.datetime.fromtimestamp(time_s, tz=datetime.UTC)
    return time.isoformat(sep=" ", timespec="milliseconds").removesuffix("+00:00")
