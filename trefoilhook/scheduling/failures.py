"""Contains errors in the planning of one job or worker, so that others are served.

An error is contained only where the state of the scheduler is known to be consistent
afterwards. Any other error ends the ownership.
"""

import attrs

__all__ = ["FailureTracker", "PlanFailure"]

_RETRY_INTERVAL_MS = 5000.0
"""Time for which a job is set aside after an error in its planning, in ms. The cause
may be a figure that a worker reports, which changes within seconds."""


@attrs.frozen(kw_only=True)
class PlanFailure:
    """An unexpected error in a part of a plan.

    Parameters
    ----------
    error : Exception
        The error.
    job_id : str
        Job that is set aside; empty if the part concerned a worker.
    worker_id : str
        Worker whose paces were not planned; empty if the part concerned a job.
    """

    error: Exception
    job_id: str = ""
    worker_id: str = ""


@attrs.define(kw_only=True)
class FailureTracker:
    """Errors in planning, and the jobs that are set aside because of them.

    Parameters
    ----------
    unreported : list of PlanFailure
        Errors that the caller has not logged yet.
    """

    unreported: list[PlanFailure] = attrs.Factory(list)
    _retry_ms: dict[str, float] = attrs.Factory(dict)

    def set_job_aside(self, job_id: str, error: Exception, now_ms: float) -> None:
        """Record an error in the planning of a job, which is then not planned."""
        self.unreported.append(PlanFailure(error=error, job_id=job_id))
        self._retry_ms[job_id] = now_ms + _RETRY_INTERVAL_MS

    def record_worker(self, worker_id: str, error: Exception) -> None:
        """Record an error in the planning of the paces of a worker."""
        self.unreported.append(PlanFailure(error=error, worker_id=worker_id))

    def is_set_aside(self, job_id: str, now_ms: float) -> bool:
        """Return whether a job is not planned at present."""
        if job_id not in self._retry_ms:
            return False
        if self._retry_ms[job_id] > now_ms:
            return True
        del self._retry_ms[job_id]
        return False
