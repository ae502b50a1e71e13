"""Lost workers: whether they crashed, under which tasks, and what follows from it.

A worker that is lost proves no crash. Its process may have been stopped as planned, it
may be cut off and run on, its leases may have been over before, or what the store lists
of it may be out of date. Only a loss that can't be one of these counts, and it counts
for the tasks that explain it (`suspicion`).
"""

from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.book import TaskState
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.messages import LossCause, Suspect, WorkerLoss
from trefoilhook.scheduling.suspicion import (
    LEAST_RATIO,
    PRIOR_ODDS,
    STRONG_ODDS,
    Exposure,
    Suspicion,
    weigh_crash,
)

__all__ = [
    "SuspectUnit",
    "attribute_loss",
    "blame",
    "find_cause",
    "lose_worker",
    "sort_runs",
]

_STEADY_MS = 3000.0
"""How long the list of workers must have been read without a failure before an entry
that is missing proves anything, in ms: after an outage of the store entries are back
within two seconds."""

_NOTICE_SHARE = 0.75
"""Share of the notice before a planned stop within which the list of workers must have
been read to rule one out: a watch is answered each second, half of the notice."""

_ENTRY_SLACK_MS = 1000.0
"""Added to the time for which the entry of a dead worker stays, in ms."""

_PAUSE_MS = 1000.0
_PAUSE_GROWTH = 4.0
_LONGEST_PAUSE_MS = 60_000.0
"""Pause before a strongly suspected task is started again if its last worker was lost
without proof of a crash, in ms; it grows by this factor with each such loss. A machine
that falls silent as a whole looks like one behind a cut: its task is never given up."""

_DOUBTFUL = frozenset({LossCause.CUT_OFF, LossCause.LIST_STALE, LossCause.STILL_LISTED})


@attrs.define(kw_only=True, eq=False)
class SuspectUnit:
    """A unit that had runs on a lost worker."""

    task: TaskState
    attempt: int
    ran_ms: float


def lose_worker(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Judge the loss of a worker whose life is over, and forget it."""
    attribute_loss(scheduler, worker, now_ms)
    scheduler.drop_worker(worker.report.worker_id)


def attribute_loss(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Take in what a worker whose life is over tells of the tasks that ran there."""
    runs = [run for run in worker.runs.values() if run.may_have_run]
    if not runs:
        return
    cause = find_cause(scheduler, worker, now_ms)
    suspects: tuple[Suspect, ...] = ()
    if cause is LossCause.CRASHED or cause in _DOUBTFUL:
        cases, others = sort_runs(scheduler, worker, runs, now_ms)
        suspects = blame(
            scheduler, worker.report.worker_id, cases, others, cause, now_ms
        )
    scheduler.suspects.losses.append(
        WorkerLoss(
            worker_id=worker.report.worker_id,
            cause=cause,
            runs=len(runs),
            suspects=suspects,
        )
    )


def find_cause(scheduler: Scheduler, worker: Worker, now_ms: float) -> LossCause:
    """Tell what ended the life of a worker, as far as that is proved."""
    silence = worker.silence
    began_ms = now_ms if silence is None else silence.began_ms
    limits = scheduler.limits
    if worker.report.draining:
        return LossCause.DRAINED
    if worker.estimate_clock(began_ms) >= worker.lease_until_ms:
        return LossCause.LEASES_OVER
    if silence is not None and not silence.tells_of_end:
        if worker.estimate_clock(now_ms) >= worker.lease_until_ms:
            return LossCause.LEASES_OVER
        return LossCause.CUT_OFF
    # A stop is announced in the store a while before it.
    if scheduler.entries.read_ms < began_ms - _NOTICE_SHARE * limits.drain_notice_ms:
        return LossCause.LIST_STALE
    if not worker.listed and now_ms - scheduler.entries.steady_since_ms < _STEADY_MS:
        return LossCause.LIST_STALE
    entry_ms = limits.entry_life_ms + _ENTRY_SLACK_MS
    if worker.listed and now_ms - began_ms > entry_ms:
        # Its entry would have gone if it had been dead since then.
        return LossCause.STILL_LISTED
    return LossCause.CRASHED


def sort_runs(
    scheduler: Scheduler, worker: Worker, runs: Iterable[Run], now_ms: float
) -> tuple[list[SuspectUnit], list[Exposure]]:
    """Return the units that had runs on a worker, and the runs that can't be blamed."""
    cases: dict[tuple[str, tuple[int, int, int]], SuspectUnit] = {}
    others: list[Exposure] = []
    for run in runs:
        state = scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        ran_ms = worker.measure_time(run, now_ms)
        if state is None or task is None or not state.is_open or task.done:
            others.append(Exposure(odds=PRIOR_ODDS, ran_ms=ran_ms))
            continue
        key = (run.task.job_id, task.unit)
        known = cases.get(key)
        if known is None or ran_ms < known.ran_ms:
            cases[key] = SuspectUnit(task=task, attempt=run.attempt, ran_ms=ran_ms)
    return list(cases.values()), others


def blame(
    scheduler: Scheduler,
    worker_id: str,
    cases: list[SuspectUnit],
    others: list[Exposure],
    cause: LossCause,
    now_ms: float,
) -> tuple[Suspect, ...]:
    """Weigh a loss against the units that had runs on the worker."""
    exposures = [
        Exposure(odds=_read_odds(case.task.suspicion), ran_ms=case.ran_ms)
        for case in cases
    ]
    rate = scheduler.suspects.crash_rate
    rate.advance(len(scheduler.workers), now_ms)
    ratios, unexplained = weigh_crash([*exposures, *others], rate.read())
    if cause is LossCause.CRASHED:
        rate.note(unexplained)
    suspects: list[Suspect] = []
    for case, ratio in zip(cases, ratios, strict=False):
        suspects.append(_take_loss(scheduler, worker_id, case, ratio, cause, now_ms))
    suspects.sort(key=lambda suspect: -suspect.chance)
    return tuple(suspects)


def _read_odds(suspicion: Suspicion | None) -> float:
    return PRIOR_ODDS if suspicion is None else suspicion.odds


def _take_loss(
    scheduler: Scheduler,
    worker_id: str,
    case: SuspectUnit,
    ratio: float,
    cause: LossCause,
    now_ms: float,
) -> Suspect:
    state = case.task.job
    proved = cause is LossCause.CRASHED
    # Else nothing is written: the task only ran beside one that explains the loss.
    is_suspect = case.task.suspicion is not None or ratio >= LEAST_RATIO
    suspicion = scheduler.suspects.suspect(case.task) if is_suspect else Suspicion()
    if is_suspect and case.attempt not in suspicion.notes:
        suspicion.take_loss(case.attempt, worker_id, ratio, proved=proved)
        suspicion.settle()
        scheduler.suspects.note_lost_under(worker_id, case.task)
    given_up = proved and suspicion.is_crash_loop()
    if given_up:
        scheduler.fail_job(state)
    elif not proved and suspicion.odds >= STRONG_ODDS:
        pause_ms = _PAUSE_MS * _PAUSE_GROWTH ** (suspicion.doubts - 1)
        case.task.held_until_ms = now_ms + min(_LONGEST_PAUSE_MS, pause_ms)
    suspect = Suspect(
        task=case.task.task,
        attempt=case.attempt,
        ran_ms=case.ran_ms,
        ratio=ratio,
        chance=suspicion.chance,
        crashes=suspicion.crashes,
        given_up=given_up,
    )
    scheduler.suspects.clear_blank(case.task)
    return suspect
