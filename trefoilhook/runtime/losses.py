"""Log lines for attempts that an owner abandons without a reported end.

Each line gives the reason for which the task is started again. On-call engineers use it
to distinguish an unresponsive worker, a restarted worker, and an end that the worker
reported but that was lost.
"""

from collections.abc import Iterable, Mapping

from trefoilhook.logs import Event, log_event
from trefoilhook.scheduling import (
    LeaseExpiry,
    PollAnswer,
    Suspect,
    TaskId,
    Worker,
    WorkerLoss,
)

__all__ = [
    "log_departure",
    "log_lease_expiry",
    "log_loss",
    "log_restart",
    "log_unlisted",
]

_MAX_LOGGED_SUSPECTS = 6
"""Maximum number of suspects in a log line, most likely first, which keeps it under 700
bytes."""


def log_lease_expiry(expiry: LeaseExpiry) -> None:
    """Log that all leases of an unresponsive worker expired, and its abandoned runs."""
    log_event(
        Event.WORKER_LOST,
        worker=expiry.worker_id,
        why="leases lapsed",
        listed=expiry.listed,
        silent_ms=round(expiry.silent_ms),
        given_up=len(expiry.given_up),
        awaited=expiry.awaited,
    )
    _log_given_up(
        expiry.given_up,
        worker_id=expiry.worker_id,
        why="leases lapsed",
        silent_ms=expiry.silent_ms,
        listed=expiry.listed,
    )


def log_restart(worker: Worker, now_ms: float, *, seen_in: str = "refusal") -> None:
    """Log that a worker's process has been replaced, which ends all its runs.

    Parameters
    ----------
    worker : Worker
        The incarnation that has ended.
    now_ms : float
        Current time, in ms.
    seen_in : str, optional
        Evidence: a ``refusal`` by a worker of another id at its address, or an
        ``answer`` or the ``entry`` of the next process under its id.

    Notes
    -----
    The first failed call shows whether the old process ended, in which case connections
    are closed and then refused, or the network was partitioned, in which case calls
    time out.
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
        seen_in=seen_in,
        draining=worker.report.draining,
    )
    _log_given_up(
        worker.runs,
        worker_id=worker_id,
        why="restarted",
        silent_ms=now_ms - worker.clock_read_ms if worker.has_answered_token else 0.0,
        listed=worker.listed,
        ran_ms={
            key: worker.measure_run_time(run, now_ms)
            for key, run in worker.runs.items()
        },
    )


def log_departure(worker: Worker) -> None:
    """Log that a worker has shut down as planned, which ends all its runs."""
    worker_id = worker.report.worker_id
    log_event(Event.WORKER_LOST, worker=worker_id, why="left")
    _log_given_up(
        worker.runs, worker_id=worker_id, why="left", silent_ms=0.0, listed=False
    )


def log_loss(loss: WorkerLoss) -> None:
    """Log why a worker process ended, with the tasks suspected of crashing it."""
    log_event(
        Event.LOSS_ATTRIBUTED,
        worker=loss.worker_id,
        cause=loss.cause.value,
        runs=loss.runs,
        suspects=[
            _describe(suspect) for suspect in loss.suspects[:_MAX_LOGGED_SUSPECTS]
        ],
        unnamed=max(0, len(loss.suspects) - _MAX_LOGGED_SUSPECTS),
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
    worker: Worker, held: Iterable[tuple[TaskId, int]], poll_result: PollAnswer
) -> None:
    """Log the runs that a poll neither listed as running nor as ended.

    Parameters
    ----------
    worker : Worker
        The worker, after the poll result has been applied.
    held : iterable of (TaskId, int)
        Tasks and attempts on the worker before the poll.
    poll_result : Look
        Answer of the worker.
    """
    ended = {(end.task, end.attempt) for end in poll_result.ends}
    missing = [run for run in held if run not in worker.runs and run not in ended]
    _log_given_up(
        missing,
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
