"""Evaluation of lost workers: whether they crashed, and which tasks are suspected.

The loss of a worker does not prove a crash. Its process may have been shut down as
planned, a network partition may hide it, its leases may have expired earlier, or its
entry in the store may be out of date. Only a loss that none of these explains counts as
a crash, and it counts against the tasks that are likely causes (see `suspicion`).
"""

import math
from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.fleet import Run, Worker
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.messages import LossCause, Suspect, WorkerLoss
from trefoilhook.scheduling.suspicion import (
    LONG_RUN_MS,
    MAX_UNPROVED_RATIO,
    MIN_SUSPECT_RATIO,
    PRIOR_ODDS,
    STRONG_ODDS,
    Exposure,
    Suspicion,
    compute_common_cause_limit,
    compute_likelihood_ratios,
)

__all__ = [
    "SuspectUnit",
    "attribute_loss",
    "attribute_to_units",
    "find_cause",
    "handle_worker_loss",
    "list_exposed_runs",
    "partition_runs",
]

_NOTICE_SHARE = 0.75
"""Fraction of the notice before a planned shutdown within which the list of workers
must have been read to rule a shutdown out. A watch is answered every second, which is
half of the notice."""

_ENTRY_MARGIN_MS = 1000.0
"""Margin on the time for which the entry of a dead worker remains, in ms."""

_RETRY_DELAY_MS = 1000.0
"""Delay before a strongly suspected task is started again after an unproved loss, in
ms."""

_MAX_QUICK_LOSSES = 4
"""Number of losses of a single worker after which a task is still started again after
this delay. A task that silences its workers is started five times in all, as often as
users permit for one that crashes them."""

_MAX_QUICK_SERVICE_LOSSES = 5
"""The same for a long-running task, which serves its users and whose starts have no
such limit."""

_CULPRIT_DELAY_MS = 60_000.0
_VANISHED_DELAY_MS = 600_000.0
"""Delay after each further unproved loss, in ms. A machine that fails as a whole looks
the same as a network partition, so that its task is never given up. The delay is longer
if the worker's entry has gone, too: each further start may take down a machine for
good."""

_SILENCE_FACTOR = 4.0
"""Factor on the rate of crashes that no task causes for a machine that falls silent:
partitions and failures of the machine itself add to them."""

_UNPROVED_CAUSES = frozenset(
    {
        LossCause.PARTITIONED,
        LossCause.VANISHED,
        LossCause.LIST_STALE,
        LossCause.STILL_LISTED,
    }
)


@attrs.define(kw_only=True, eq=False)
class SuspectUnit:
    """A unit with runs on a lost worker."""

    task: TaskState
    attempt: int
    ran_ms: float


def handle_worker_loss(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Evaluate the loss of a worker whose incarnation has ended, and remove it."""
    attribute_loss(scheduler, worker, now_ms)
    scheduler.drop_worker(worker.report.worker_id)


def attribute_loss(scheduler: Scheduler, worker: Worker, now_ms: float) -> None:
    """Evaluate which tasks may have caused the end of a worker incarnation."""
    concurrent = scheduler.suspects.concurrent_losses
    concurrent.refresh(scheduler.workers.values(), now_ms)
    cause = find_cause(scheduler, worker, now_ms)
    if cause in _UNPROVED_CAUSES:
        concurrent.record(worker, now_ms)
    runs = list_exposed_runs(worker)
    if not runs:
        return
    units, others = partition_runs(scheduler, worker, runs, now_ms)
    _excuse_long_runs(units)
    suspects: tuple[Suspect, ...] = ()
    if cause is LossCause.CRASHED or cause in _UNPROVED_CAUSES:
        suspects = attribute_to_units(
            scheduler, worker.incarnation, units, others, cause, now_ms
        )
    scheduler.suspects.losses.append(
        WorkerLoss(
            worker_id=worker.report.worker_id,
            cause=cause,
            runs=len(runs),
            suspects=suspects,
        )
    )


def _excuse_long_runs(units: Iterable[SuspectUnit]) -> None:
    for unit in units:
        suspicion = unit.task.suspicion
        if suspicion is not None and unit.ran_ms >= LONG_RUN_MS:
            suspicion.excuse_losses(unit.ran_ms)


def list_exposed_runs(worker: Worker) -> list[Run]:
    """Return the runs that may have crashed the process of a worker.

    Excludes unconfirmed starts sent after the connections of the process were closed,
    so that a crash does not count for a task that never ran there.
    """
    silence = worker.silence
    return [
        run
        for run in worker.runs.values()
        if run.may_have_run
        and not (
            silence is not None
            and silence.indicates_process_exit
            and not run.is_confirmed
            and run.started_ms > silence.began_ms
        )
    ]


def find_cause(scheduler: Scheduler, worker: Worker, now_ms: float) -> LossCause:
    """Return the cause of the end of a worker incarnation, as far as it is proved."""
    silence = worker.silence
    began_ms = now_ms if silence is None else silence.began_ms
    limits = scheduler.limits
    if worker.report.draining:
        return LossCause.DRAINED
    if worker.estimate_clock(began_ms) >= worker.lease_until_ms:
        return LossCause.LEASES_EXPIRED
    if silence is not None and not silence.indicates_process_exit:
        if worker.estimate_clock(now_ms) >= worker.lease_until_ms:
            # Without its entry, the end of the leases came after that of the machine.
            is_gone = not worker.listed and scheduler.entries.is_steady(now_ms)
            return LossCause.VANISHED if is_gone else LossCause.LEASES_EXPIRED
        return LossCause.PARTITIONED
    # A planned shutdown is announced in the store in advance.
    if scheduler.entries.read_ms < began_ms - _NOTICE_SHARE * limits.drain_notice_ms:
        return LossCause.LIST_STALE
    if not worker.listed and not scheduler.entries.is_steady(now_ms):
        return LossCause.LIST_STALE
    entry_ms = limits.entry_life_ms + _ENTRY_MARGIN_MS
    if worker.listed and now_ms - began_ms > entry_ms:
        # The entry would have expired if the worker had been dead since then.
        return LossCause.STILL_LISTED
    return LossCause.CRASHED


def partition_runs(
    scheduler: Scheduler, worker: Worker, runs: Iterable[Run], now_ms: float
) -> tuple[list[SuspectUnit], list[Exposure]]:
    """Return the units with runs on a worker, and the runs of ended tasks."""
    units: dict[tuple[str, tuple[int, int, int]], SuspectUnit] = {}
    others: list[Exposure] = []
    for run in runs:
        state = scheduler.jobs.get(run.task.job_id)
        task = state.find_task(run.task) if state is not None else None
        ran_ms = worker.measure_run_time(run, now_ms)
        if state is None or task is None or not state.is_open or task.done:
            others.append(Exposure(odds=PRIOR_ODDS, ran_ms=ran_ms))
            continue
        key = (run.task.job_id, task.unit)
        known = units.get(key)
        if known is None or ran_ms < known.ran_ms:
            units[key] = SuspectUnit(task=task, attempt=run.attempt, ran_ms=ran_ms)
    return list(units.values()), others


def attribute_to_units(
    scheduler: Scheduler,
    worker_id: str,
    units: list[SuspectUnit],
    others: list[Exposure],
    cause: LossCause,
    now_ms: float,
) -> tuple[Suspect, ...]:
    """Apply the evidence of a loss to the units that had runs on the worker."""
    exposures = [
        Exposure(odds=_get_odds(unit.task.suspicion), ran_ms=unit.ran_ms)
        for unit in units
    ]
    rate = scheduler.suspects.crash_rate
    rate.update(len(scheduler.workers), now_ms)
    other_rate = rate.estimate()
    if cause is LossCause.VANISHED:
        other_rate *= _SILENCE_FACTOR
    ratios, unexplained = compute_likelihood_ratios([*exposures, *others], other_rate)
    if cause is LossCause.CRASHED:
        rate.add_unexplained(unexplained)
    suspects: list[Suspect] = []
    for unit, ratio in zip(units, ratios, strict=False):
        limit = math.inf
        if cause in _UNPROVED_CAUSES:
            limit = _limit_by_common_cause(scheduler, worker_id, unit)
        suspects.append(
            _apply_loss(
                scheduler,
                worker_id,
                unit,
                min(ratio, limit),
                cause,
                now_ms,
                is_concurrent=limit < min(ratio, MAX_UNPROVED_RATIO),
            )
        )
    suspects.sort(key=lambda suspect: -suspect.chance)
    return tuple(suspects)


def _limit_by_common_cause(
    scheduler: Scheduler, incarnation: str, unit: SuspectUnit
) -> float:
    """Return the maximum evidence of a silent loss, given those at the same time.

    A common cause keeps the evidence from being counted as that of a single loss, but
    not from being recorded: tasks that are lost together again and again may be the
    cause.
    """
    share = scheduler.suspects.concurrent_losses.measure_share(
        incarnation, unit.task.task.job_id, workers=len(scheduler.workers)
    )
    return max(MIN_SUSPECT_RATIO, compute_common_cause_limit(unit.ran_ms, share))


def _get_odds(suspicion: Suspicion | None) -> float:
    return PRIOR_ODDS if suspicion is None else suspicion.odds


def _apply_loss(
    scheduler: Scheduler,
    worker_id: str,
    unit: SuspectUnit,
    ratio: float,
    cause: LossCause,
    now_ms: float,
    *,
    is_concurrent: bool,
) -> Suspect:
    state = unit.task.job
    proved = cause is LossCause.CRASHED
    # Without a suspicion, nothing is recorded for tasks that only ran beside the cause.
    is_suspect = unit.task.suspicion is not None or ratio >= MIN_SUSPECT_RATIO
    suspicion = scheduler.suspects.get_or_add(unit.task) if is_suspect else Suspicion()
    if is_suspect and unit.attempt not in suspicion.notes:
        suspicion.record_loss(
            unit.attempt, worker_id, ratio, proved=proved, is_concurrent=is_concurrent
        )
        suspicion.clear_attempt()
        scheduler.suspects.record_lost_worker(worker_id, unit.task)
    given_up = proved and suspicion.is_crash_loop()
    if given_up:
        scheduler.fail_job(state)
    elif not proved and suspicion.odds >= STRONG_ODDS:
        delay_ms = _compute_delay(unit.task, suspicion, cause)
        unit.task.shared.held_until_ms = now_ms + delay_ms
    suspect = Suspect(
        task=unit.task.task,
        attempt=unit.attempt,
        ran_ms=unit.ran_ms,
        ratio=ratio,
        chance=suspicion.chance,
        crashes=suspicion.crashes,
        given_up=given_up,
    )
    scheduler.suspects.discard_negligible(unit.task)
    return suspect


def _compute_delay(task: TaskState, suspicion: Suspicion, cause: LossCause) -> float:
    """Return the time for which a strongly suspected task is not started, in ms."""
    max_losses = _MAX_QUICK_LOSSES
    if task.step.long_running:
        max_losses = _MAX_QUICK_SERVICE_LOSSES
    if suspicion.single_losses <= max_losses:
        return _RETRY_DELAY_MS
    return _VANISHED_DELAY_MS if cause is LossCause.VANISHED else _CULPRIT_DELAY_MS
