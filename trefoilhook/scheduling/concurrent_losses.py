"""Workers that fell silent at about the same time.

A rack, a switch or a power line takes several workers along. Such a common cause
explains the loss of each of them, so that the loss says little about the tasks that had
just been started there. Workers on which tasks of the same job, or a repeated suspect,
had been started do not count as evidence of a common cause: these may have silenced
them.
"""

import bisect
from collections.abc import Callable, Iterable

import attrs

from trefoilhook.scheduling.fleet import Run, Worker

__all__ = ["ConcurrentLosses"]

_WINDOW_MS = 2000.0
"""Maximum difference between the times at which two workers are first found silent that
were lost together, in ms: a poll waits for 1.5 s, and its answer for 0.6 s."""

_KEPT_MS = 60_000.0
"""Time for which a loss is remembered, in ms. A worker is evaluated some 10 s after it
fell silent, once its leases have expired and its entry has been removed."""

_MAX_RUN_MS = 10_000.0
"""Running time above which a run is not taken for the cause of a worker's loss, in
ms."""

_MIN_OTHERS = 2
"""Minimum number of other workers that were lost together for a common cause, except on
small fleets."""

_MIN_PAIR_SHARE = 1.0 / 6.0
"""Minimum fraction of the workers that two of them must be for a single other worker to
be evidence of a common cause. On a small fleet, more are rarely lost together."""

_MAX_COMPARED = 64
"""Maximum number of workers whose jobs are compared; their fraction applies to all."""

_AFTER_ALL_NAMES = "\U0010ffff"

_REFRESH_INTERVAL_MS = 100.0
"""Minimum time between two searches for silent workers, in ms, as hundreds of losses
are evaluated one after the other."""


@attrs.frozen(kw_only=True)
class _Loss:
    """A worker that fell silent.

    Parameters
    ----------
    began_ms : float
        Time at which it was first found silent, in ms.
    jobs : frozenset of str
        Jobs whose tasks had been started there shortly before.
    has_suspect : bool
        Whether one of these tasks had been lost repeatedly before.
    """

    began_ms: float
    jobs: frozenset[str]
    has_suspect: bool

    def is_unrelated(self, job_id: str) -> bool:
        """Return whether neither a job nor a suspect explains the loss."""
        return not self.has_suspect and job_id not in self.jobs


@attrs.define(kw_only=True)
class ConcurrentLosses:
    """Workers that fell silent recently and have not answered since.

    Parameters
    ----------
    is_suspect : callable
        Returns whether the task of a run has been lost repeatedly.
    """

    is_suspect: Callable[[Run], bool]
    _losses: dict[str, _Loss] = attrs.field(factory=dict, init=False)
    _in_order: list[tuple[float, str]] | None = attrs.field(default=None, init=False)
    _refreshed_ms: float = attrs.field(default=float("-inf"), init=False)

    def refresh(self, workers: Iterable[Worker], now_ms: float) -> None:
        """Record the workers that are silent now, and forget those that answer again.

        Parameters
        ----------
        workers : iterable of Worker
            All known workers. Removed ones are kept for a while.
        now_ms : float
            Current time, in ms.
        """
        if now_ms - self._refreshed_ms < _REFRESH_INTERVAL_MS:
            return
        self._refreshed_ms = now_ms
        self._in_order = None
        for incarnation, loss in list(self._losses.items()):
            if now_ms - loss.began_ms > _KEPT_MS:
                del self._losses[incarnation]
        for worker in workers:
            if worker.silence is None:
                self._losses.pop(worker.incarnation, None)
            elif worker.incarnation not in self._losses and _is_unexplained(worker):
                self._losses[worker.incarnation] = self._describe(worker, now_ms)

    def record(self, worker: Worker, now_ms: float) -> None:
        """Record a lost worker, unless it is known."""
        if worker.incarnation not in self._losses:
            self._losses[worker.incarnation] = self._describe(worker, now_ms)
            self._in_order = None

    def measure_share(self, incarnation: str, job_id: str, *, workers: int) -> float:
        """Return the fraction of the workers that were lost together with one.

        Parameters
        ----------
        incarnation : str
            Name of the lost worker, which has been recorded.
        job_id : str
            Job that may have caused its loss. Other workers whose loss it, or a
            suspect, may have caused are not counted.
        workers : int
            Number of workers before the loss.

        Returns
        -------
        float
            Fraction from 0 to 1; 0 if there is no evidence of a common cause.
        """
        loss = self._losses.get(incarnation)
        if loss is None:
            return 0.0
        if self._in_order is None:
            self._in_order = sorted(
                (each.began_ms, name) for name, each in self._losses.items()
            )
        first = bisect.bisect_left(self._in_order, (loss.began_ms - _WINDOW_MS, ""))
        last = bisect.bisect_right(
            self._in_order, (loss.began_ms + _WINDOW_MS, _AFTER_ALL_NAMES)
        )
        others = last - first - 1
        step = max(1, others // _MAX_COMPARED)
        compared = [
            self._losses[name]
            for _, name in self._in_order[first:last:step]
            if name != incarnation
        ]
        unrelated = sum(other.is_unrelated(job_id) for other in compared)
        if not unrelated:
            return 0.0
        lost = 1.0 + others * unrelated / len(compared)
        share = min(1.0, lost / max(workers, others + 1))
        if unrelated < _MIN_OTHERS and share < _MIN_PAIR_SHARE:
            return 0.0
        return share

    def _describe(self, worker: Worker, now_ms: float) -> _Loss:
        began_ms = now_ms if worker.silence is None else worker.silence.began_ms
        recent = [
            run
            for run in worker.runs.values()
            if worker.measure_run_time(run, now_ms) <= _MAX_RUN_MS
        ]
        return _Loss(
            began_ms=began_ms,
            jobs=frozenset(run.task.job_id for run in recent),
            has_suspect=any(self.is_suspect(run) for run in recent),
        )


def _is_unexplained(worker: Worker) -> bool:
    """Return whether a worker is silent, and neither drained nor without a process."""
    silence = worker.silence
    return (
        silence is not None
        and not silence.indicates_process_exit
        and not worker.report.draining
    )
