"""Lines on runs that an owner gives up without an end of theirs.

Each tells why its task is started again. On-call engineers tell by it a worker that
fell silent from one that restarted, and both from an end that was noted and lost.
"""

from collections.abc import Iterable, Mapping

from trefoilhook.logs import Event, log_event
from trefoilhook.scheduling import Lapse, Look, Suspect, TaskId, Worker, WorkerLoss

__all__ = ["log_lapse", "log_loss", "log_restart", "log_unlisted"]

_MOST_SUSPECTS = 6
"""Suspects named in one line, the likeliest first: it stays under 700 bytes."""


def log_lapse(lapse: Lapse) -> None:
    """Log that every lease of a silent worker is over, and what was given up."""
    log_event(
        Event.WORKER_LOST,
        worker=lapse.worker_id,
        why="leases lapsed",
        listed=lapse.listed,
        silent_ms=round(lapse.silent_ms),
        given_up=len(lapse.given_up),
        awaited=lapse.awaited,
    )
    _log_given_up(
        lapse.given_up,
        worker_id=lapse.worker_id,
        why="leases lapsed",
        silent_ms=lapse.silent_ms,
        listed=lapse.listed,
    )


def log_restart(worker: Worker, now_ms: float) -> None:
    """Log that another life answers at a worker's address: all it ran is over.

    How the silence before it began tells a process that ended, whose connections are
    closed and then refused, from a way that is cut, where nothing comes back.
    """
    worker_id = worker.report.worker_id
    silence = worker.silence
    log_event(
        Event.WORKER_LOST,
        worker=worker_id,
        why="restarted",
        began=silence.cause.value if silence is not None else "",
        began_ms=round(now_ms - silence.began_ms) if silence is not None else 0,
        refused=silence is not None and silence.was_refused,
        draining=worker.report.draining,
    )
    _log_given_up(
        worker.runs,
        worker_id=worker_id,
        why="restarted",
        silent_ms=now_ms - worker.clock_read_ms if worker.fenced else 0.0,
        listed=worker.listed,
        ran_ms={
            key: worker.measure_time(run, now_ms) for key, run in worker.runs.items()
        },
    )


def log_loss(loss: WorkerLoss) -> None:
    """Log what ended a worker's life, its suspects, and the verdict on each."""
    log_event(
        Event.LOSS_ATTRIBUTED,
        worker=loss.worker_id,
        cause=loss.cause.value,
        runs=loss.runs,
        suspects=[_describe(suspect) for suspect in loss.suspects[:_MOST_SUSPECTS]],
        unnamed=max(0, len(loss.suspects) - _MOST_SUSPECTS),
    )
    for suspect in loss.suspects:
        if suspect.given_up:
            log_event(
                Event.CRASH_LOOP_FOUND,
                task=str(suspect.task),
                job=suspect.task.job_id,
                attempt=suspect.attempt,
                worker=loss.worker_id,
                crashes=suspect.crashes,
                chance=round(suspect.chance, 4),
            )


def _describe(suspect: Suspect) -> dict[str, str | int | float]:
    return {
        "task": str(suspect.task),
        "attempt": suspect.attempt,
        "ran_ms": round(suspect.ran_ms),
        "ratio": round(suspect.ratio, 2),
        "chance": round(suspect.chance, 4),
        "crashes": suspect.crashes,
    }


def log_unlisted(
    worker: Worker, held: Iterable[tuple[TaskId, int]], look: Look
) -> None:
    """Log the runs that a look took from a worker though it listed no end of theirs.

    Parameters
    ----------
    worker : Worker
        The worker, after the look was taken in.
    held : iterable of (TaskId, int)
        Tasks and attempts that it held before.
    look : Look
        What it listed.
    """
    ended = {(end.task, end.attempt) for end in look.ends}
    gone = [run for run in held if run not in worker.runs and run not in ended]
    _log_given_up(
        gone,
        worker_id=worker.report.worker_id,
        why="not listed",
        silent_ms=0.0,
        listed=worker.listed,
    )


def _log_given_up(
    runs: Iterable[tuple[TaskId, int]],
    *,
    worker_id: str,
    why: str,
    silent_ms: float,
    listed: bool,
    ran_ms: Mapping[tuple[TaskId, int], float] | None = None,
) -> None:
    for task, attempt in runs:
        ran = {} if ran_ms is None else {"ran_ms": round(ran_ms[task, attempt])}
        log_event(
            Event.TASK_GIVEN_UP,
            task=str(task),
            attempt=attempt,
            worker=worker_id,
            why=why,
            silent_ms=round(silent_ms),
            listed=listed,
            **ran,
        )
