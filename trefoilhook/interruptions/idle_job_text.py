"""Renders the report on batch jobs with nothing running as text."""

from collections.abc import Iterator

from trefoilhook.interruptions.core import NO_OWNER, NOT_LOGGED
from trefoilhook.interruptions.idle_jobs import LIMIT_S, IdleJobReport, IdleStretch
from trefoilhook.interruptions.text import MIN_SHOWN_S, format_time, join_counts

__all__ = ["render_idle_jobs"]


def render_idle_jobs(report: IdleJobReport) -> str:
    """Render a summary, then each stretch with one line per owner."""
    lines = [
        f"{len(report.stretches)} stretches of batch jobs with nothing running, "
        f"longest {report.longest_s:.2f} s",
        f"rule of {LIMIT_S:.0f} s: entitled for up to "
        f"{report.longest_entitled_s:.2f} s under one owner, "
        f"at most {report.max_entitled_s:.2f} s over all; "
        f"{report.over_limit} over the limit ({report.held_over_limit} held for "
        f"earlier owners, whose runs may have gone on), "
        f"{report.may_be_over_limit} may be",
    ]
    if not report.lines:
        lines.append("no line on idle jobs: nothing is known if an older build ran")
    if report.reasons:
        lines.append(f"main reasons: {join_counts(report.reasons)}")
    if report.unlogged_jobs:
        lines.append(f"jobs left out of the log: up to {report.unlogged_jobs} at once")
    if report.unread:
        lines.append(f"skipped lines: {join_counts(report.unread)}")
    for stretch in report.stretches:
        lines += ["", *_list_lines(stretch)]
    return "\n".join(lines)


def _list_lines(stretch: IdleStretch) -> Iterator[str]:
    yield (
        f"{stretch.job}  {stretch.duration_s:.2f} s with nothing running, "
        f"entitled {stretch.entitled_s:.2f} s "
        f"(at most {stretch.max_entitled_s:.2f} s), mainly {stretch.main_reason}"
    )
    yield f"  queue {stretch.queue}, since {format_time(stretch.began_s)}"
    for owner in stretch.owners:
        reasons = ", ".join(
            f"{reason} {waited_s:.2f} s" for reason, waited_s in owner.reasons_s.items()
        )
        yield (
            f"  epoch {owner.epoch} on {owner.instance}: "
            f"{owner.until_s - owner.began_s:.2f} s; {reasons}; "
            f"entitled {owner.entitled_s:.2f} s, service {owner.idle_share:.0%} idle"
        )
    for name, gap_s in (
        (NO_OWNER, stretch.ownerless_s),
        (NOT_LOGGED, stretch.unlogged_s),
    ):
        if gap_s >= MIN_SHOWN_S:
            yield f"  {name}: {gap_s:.2f} s"
    yield f"  {stretch.outcome} at {format_time(stretch.until_s)}"
