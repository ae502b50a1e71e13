"""Builds the report on interruptions from the logs of all instances."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence

import attrs

from trefoilhook.interruptions.core import (
    ACCEPTED,
    JOB_ENDED,
    NO_OWNER,
    NOT_LOGGED,
    STARTED,
    STILL_WAITING,
    Interruption,
    InterruptionReport,
    OwnerWait,
    RunEnd,
)
from trefoilhook.interruptions.runs import Run, RunLog, find_end, get_job, read_runs
from trefoilhook.interruptions.tenures import Tenure, list_tenures
from trefoilhook.interruptions.waits import list_owner_waits
from trefoilhook.story import LogLine

__all__ = ["build_interruption_report"]

_THRESHOLDS_S = (4, 6, 9)


def build_interruption_report(
    lines: Iterable[LogLine],
    *,
    min_s: float = 0.0,
    unread: Mapping[str, int] | None = None,
) -> InterruptionReport:
    """Build the report on interruptions of service tasks.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all instances, in any order.
    min_s : float, optional
        Interruptions that are shorter than this are left out, in s.
    unread : mapping of str to int, optional
        Number of skipped lines, by reason.
    """
    ordered = sorted(lines, key=lambda line: line.time_s)
    builder = _Builder(
        log=read_runs(ordered),
        tenures=list_tenures(ordered),
        logged_until_s=ordered[-1].time_s if ordered else 0.0,
    )
    found = sorted(
        (each for each in builder.list_interruptions() if each.duration_s >= min_s),
        key=lambda each: (-each.duration_s, each.task, each.last_attempt),
    )
    first_starts = sorted(
        (each for each in builder.list_first_starts() if each.duration_s >= min_s),
        key=lambda each: (-each.duration_s, each.task),
    )
    reasons = Counter(each.main_reason for each in found)
    return InterruptionReport(
        interruptions=tuple(found),
        longest_s=found[0].duration_s if found else 0.0,
        over={
            str(limit_s): sum(each.duration_s > limit_s for each in found)
            for limit_s in _THRESHOLDS_S
        },
        reasons=dict(sorted(reasons.items(), key=lambda item: (-item[1], item[0]))),
        unread={reason: count for reason, count in (unread or {}).items() if count},
        first_starts=tuple(first_starts),
    )


@attrs.frozen(kw_only=True)
class _Builder:
    """Builds the interruptions of all service tasks.

    Parameters
    ----------
    log : RunLog
        Runs, losses and waits.
    tenures : sequence of Tenure
        Owners in order.
    logged_until_s : float
        Time of the last line, in s since the Unix epoch.
    """

    log: RunLog
    tenures: Sequence[Tenure]
    logged_until_s: float

    def list_interruptions(self) -> Iterator[Interruption]:
        """List the interruptions, in no particular order."""
        for task, attempts in self.log.runs.items():
            if not self.log.is_service(task):
                continue
            runs = [attempts[number] for number in sorted(attempts)]
            for run, following in zip(runs, [*runs[1:], None], strict=True):
                found = self._build(run, following)
                if found is not None:
                    yield found

    def list_first_starts(self) -> Iterator[Interruption]:
        """Yield the waits of tasks for their first run, in no particular order.

        Each wait starts with the acceptance of the job.
        """
        for task, first in self.log.list_first_waits():
            end = RunEnd(at_s=self.log.acceptances[get_job(task)], evidence=ACCEPTED)
            run = Run(task=task, attempt=0, worker="")
            samples = self.log.list_first_samples(task)
            found = self._build_wait(run, end, first, samples)
            if found is not None:
                yield found

    def _build(self, run: Run, following: Run | None) -> Interruption | None:
        """Return the interruption after a run, or None if there is none."""
        end = find_end(run, self.log.losses.get(run.worker, ()), following)
        if end is None or not run.is_wanted:
            return None
        samples = self.log.waits.get(run.task, ())
        return self._build_wait(run, end, following, samples)

    def _build_wait(
        self,
        run: Run,
        end: RunEnd,
        following: Run | None,
        samples: Sequence[LogLine],
    ) -> Interruption | None:
        """Return the interruption that starts at ``end``, or None if there is none."""
        start = following.start if following is not None else None
        if following is not None and start is None:
            return None
        outcome, until_s = self._find_outcome(run.task, start)
        if until_s <= end.at_s:
            return None
        owners = list_owner_waits(
            self.tenures,
            samples,
            began_s=end.at_s,
            until_s=until_s,
            start=start,
        )
        ownerless_s = self._measure_ownerless(end.at_s, until_s, owners)
        return Interruption(
            task=run.task,
            last_attempt=run.attempt,
            last_worker=run.worker,
            end=end,
            owners=owners,
            ownerless_s=ownerless_s,
            outcome=outcome,
            until_s=until_s,
            next_attempt=following.attempt if following is not None else None,
            next_worker=following.worker if following is not None else "",
            duration_s=until_s - end.at_s,
            main_reason=_find_main_reason(owners, ownerless_s),
        )

    def _find_outcome(self, task: str, start: LogLine | None) -> tuple[str, float]:
        if start is not None:
            return STARTED, start.time_s
        job_end_s = self.log.job_ends.get(get_job(task))
        if job_end_s is not None:
            return JOB_ENDED, job_end_s
        return STILL_WAITING, self.logged_until_s

    def _measure_ownerless(
        self, began_s: float, until_s: float, owners: Iterable[OwnerWait]
    ) -> float:
        """Return the time between owners, in s; none before the first known one."""
        if not self.tenures:
            return 0.0
        total_s = until_s - max(began_s, self.tenures[0].began_s)
        return max(0.0, total_s - sum(owner.duration_s for owner in owners))


def _find_main_reason(owners: Iterable[OwnerWait], ownerless_s: float) -> str:
    """Return what most of the time was spent on over all owners."""
    spent_s = {NOT_LOGGED: 0.0, NO_OWNER: ownerless_s}
    for owner in owners:
        logged_s = 0.0
        for wait in owner.waits:
            logged_s += wait.duration_s
            known_s = spent_s.get(wait.waits_for, 0.0)
            spent_s[wait.waits_for] = known_s + wait.duration_s
        spent_s[NOT_LOGGED] += owner.duration_s - logged_s
    return max(spent_s, key=lambda reason: spent_s[reason])
