"""Tasks that have waited for a worker for long, as their owner sees them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.restarts import measure_wait
from trefoilhook.scheduling.takeovers import list_awaited_workers
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.waits import WaitReason

__all__ = ["LongWait", "describe_reasons", "list_long_waits"]

_MAX_LISTED_WORKERS = 5
"""Maximum number of workers named in a log line."""

_MAX_LISTED_REASONS = 4
"""Maximum number of wait reasons in a log line."""


@attrs.frozen(kw_only=True)
class LongWait:
    """Waiting tasks of one step; the fields describe the one that has waited longest.

    Parameters
    ----------
    task : str
        Id of the task.
    queue : str
        Queue of its job.
    tasks : int
        Number of tasks of the step that have waited for long.
    long_running : bool
        Whether the tasks of the step are never completed.
    waited_ms : int
        Time for which it has waited under this owner, in ms.
    waits_for : str
        Reason for which it was not placed in the last round.
    main_reason : str
        Reason for most of its wait.
    last_attempt : int
        Highest attempt number that this owner knows; 0 if it knows none.
    last_worker, last_end : str
        Worker of the attempt that ended last, and how it ended; empty if unknown to
        this owner.
    worker_state : str
        What the owner believes of that worker: ``answers``, ``silent``, ``gone``, or
        empty.
    held_ms : int
        Remaining time for which it is held as a suspect of a crash, in ms.
    kept_ms : int
        Time for which it was not placed as capacity for it was kept for urgent tasks,
        over all interruptions, in ms.
    placeable_ms : int
        Time since it could first have been placed, including interruptions, in ms;
        0 if it was never held.
    interruptions : int
        Number of times since then that no worker could host it.
    awaits : tuple of str
        Workers of previous owners for which it waits, five at most.
    ample_ms : int
        Time for which the step has had capacity for two of its tasks, in ms; 0 if there
        is no such capacity now.
    overdue : bool
        Whether the step has waited too long while this capacity was available.
    reasons_ms : dict of str to int
        Time for which the step has waited for each reason, in ms; the four longest.
    """

    task: str
    queue: str
    tasks: int
    long_running: bool
    waited_ms: int
    waits_for: str
    main_reason: str
    last_attempt: int
    last_worker: str
    last_end: str
    worker_state: str
    held_ms: int
    kept_ms: int
    placeable_ms: int
    interruptions: int
    awaits: tuple[str, ...] = ()
    ample_ms: int = 0
    overdue: bool = False
    reasons_ms: dict[str, int] = attrs.Factory(dict)


def list_long_waits(
    scheduler: Scheduler, *, min_wait_ms: float, now_ms: float
) -> Iterator[LongWait]:
    """Yield the steps with tasks that have waited for at least ``min_wait_ms``.

    Steps of tasks that are never completed come first, then those with longer waits.
    """
    by_step: dict[StepName, list[TaskState]] = defaultdict(list)
    for task in scheduler.waiting:
        if measure_wait(task, now_ms) >= min_wait_ms:
            by_step[name_step(task.task)].append(task)
    waits = [
        _describe(scheduler, step, tasks, now_ms) for step, tasks in by_step.items()
    ]
    yield from sorted(waits, key=lambda wait: (not wait.long_running, -wait.waited_ms))


def describe_reasons(
    reasons: Sequence[tuple[WaitReason, float]],
) -> dict[str, int]:
    """Return the times of the four main reasons, in ms, for the log.

    Parameters
    ----------
    reasons : sequence of (WaitReason, float)
        Reasons and their times in ms, in descending order of time.
    """
    return {
        reason.value: round(waited_ms)
        for reason, waited_ms in reasons[:_MAX_LISTED_REASONS]
    }


def _describe(
    scheduler: Scheduler, step: StepName, tasks: Iterable[TaskState], now_ms: float
) -> LongWait:
    members = list(tasks)
    longest = min(members, key=lambda task: (-measure_wait(task, now_ms), task.key))
    reason = scheduler.waits.get_last_reason(step)
    main_reason = scheduler.waits.get_main_reason(step)
    hold = scheduler.service_holds.find(step)
    return LongWait(
        task=str(longest.task),
        queue=longest.job.job.queue,
        tasks=len(members),
        long_running=longest.step.long_running,
        waited_ms=round(measure_wait(longest, now_ms)),
        waits_for=reason.value if reason is not None else "",
        main_reason=main_reason.value if main_reason is not None else "",
        last_attempt=longest.last_attempt,
        last_worker=longest.last_worker,
        last_end=longest.last_end.value if longest.last_end is not None else "",
        worker_state=_describe_worker(scheduler, longest.last_worker),
        held_ms=max(0, round(longest.shared.held_until_ms - now_ms)),
        kept_ms=round(scheduler.waits.measure_wait(step, WaitReason.URGENT_DEMAND)),
        placeable_ms=round(now_ms - hold.first_ms) if hold is not None else 0,
        interruptions=hold.interruptions if hold is not None else 0,
        awaits=(
            tuple(list_awaited_workers(scheduler, longest)[:_MAX_LISTED_WORKERS])
            if reason is WaitReason.OWNER_NEW
            else ()
        ),
        ample_ms=round(scheduler.overdue.measure(step, now_ms)),
        overdue=scheduler.overdue.contains(step),
        reasons_ms=describe_reasons(scheduler.waits.list_reasons(step)),
    )


def _describe_worker(scheduler: Scheduler, worker_id: str) -> str:
    if not worker_id:
        return ""
    worker = scheduler.workers.get(worker_id)
    if worker is None:
        return "gone"
    return "answers" if worker.silence is None else "silent"
