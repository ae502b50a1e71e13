"""What clients sent, and what they were told."""

import enum

import attrs

__all__ = ["Ledger", "Submission", "SubmissionOutcome", "TaskDemand", "read_place"]


class SubmissionOutcome(enum.Enum):
    """What a client knows of its submission."""

    UNKNOWN = "unknown"
    """At least one try got no answer, and none was accepted."""
    ACCEPTED = "accepted"
    REJECTED = "rejected"
    """Every try was answered with the word that it never runs."""


@attrs.frozen(kw_only=True)
class TaskDemand:
    """What the tasks of a step take: thousandths of a core, and how many there are."""

    cpu: int
    count: int


@attrs.define(kw_only=True)
class Submission:
    """One job as its client knows it.

    Parameters
    ----------
    job_id : str
        Chosen by the client.
    steps : tuple of TaskDemand
        Each comes after the one before.
    outcome : SubmissionOutcome
        What became of handing it in.
    accepted_ms : float or None
        When it was accepted, in ms.
    crash_ms : float or None
        How long after its start its first task crashes its worker, in ms; None for a
        job that can be done.
    cancel_sent : bool
        Whether a cancel was sent.
    state : str
        Last state told.
    """

    job_id: str
    steps: tuple[TaskDemand, ...]
    outcome: SubmissionOutcome = SubmissionOutcome.UNKNOWN
    accepted_ms: float | None = None
    crash_ms: float | None = None
    cancel_sent: bool = False
    state: str = ""

    @property
    def culprit(self) -> str:
        """Name of the task that crashes its workers, if one does."""
        return f"{self.job_id}.0.0.0"


@attrs.define(kw_only=True)
class Ledger:
    """All submissions, and what clients saw that must never be seen.

    Parameters
    ----------
    submissions : dict of str to Submission
        By job.
    violations : list of str
        In words, as they were seen.
    """

    submissions: dict[str, Submission] = attrs.Factory(dict)
    violations: list[str] = attrs.Factory(list)


def read_place(task: str) -> tuple[str, int, int]:
    """Return job, step and index of a task's name."""
    job_id, _, step, index = task.split(".")
    return job_id, int(step), int(index)
