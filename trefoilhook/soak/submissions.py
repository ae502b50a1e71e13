"""Job submissions of clients and the responses to them."""

import enum

import attrs

__all__ = [
    "SubmissionLog",
    "Submission",
    "SubmissionOutcome",
    "TaskDemand",
    "parse_task_name",
]


class SubmissionOutcome(enum.Enum):
    """Outcome of a submission as its client knows it."""

    UNKNOWN = "unknown"
    """At least one attempt got no response, and none was accepted."""
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    """Every attempt was rejected; the job must never run."""


@attrs.frozen(kw_only=True)
class TaskDemand:
    """CPU demand per task of a step, in thousandths of a core, and number of tasks."""

    cpu: int
    count: int


@attrs.define(kw_only=True)
class Submission:
    """A job as its client knows it.

    Parameters
    ----------
    job_id : str
        Id chosen by the client.
    steps : tuple of TaskDemand
        Steps, each of which depends on the previous one.
    outcome : SubmissionOutcome
        Outcome of the submission.
    accepted_ms : float or None
        Time of acceptance, in ms.
    crash_ms : float or None
        Delay from the start of its first task until that crashes its worker, in ms;
        None for a job that can be completed.
    cancel_sent : bool
        Whether a cancellation was sent.
    state : str
        Last reported state.
    """

    job_id: str
    steps: tuple[TaskDemand, ...]
    outcome: SubmissionOutcome = SubmissionOutcome.UNKNOWN
    accepted_ms: float | None = None
    crash_ms: float | None = None
    cancel_sent: bool = False
    state: str = ""

    @property
    def crashing_task(self) -> str:
        """Name of the task that crashes its workers if ``crash_ms`` is set."""
        return f"{self.job_id}.0.0.0"


@attrs.define(kw_only=True)
class SubmissionLog:
    """All submissions, and the violations that clients observed.

    Parameters
    ----------
    submissions : dict of str to Submission
        Submissions by job id.
    violations : list of str
        Descriptions of the violations, in order.
    """

    submissions: dict[str, Submission] = attrs.Factory(dict)
    violations: list[str] = attrs.Factory(list)


def parse_task_name(task: str) -> tuple[str, int, int]:
    """Return the job id, step and task index encoded in a task name."""
    job_id, _, step, index = task.split(".")
    return job_id, int(step), int(index)
