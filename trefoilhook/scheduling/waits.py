"""Reasons and durations of the waits of tasks, as logged when a task starts."""

import enum

import attrs

from trefoilhook.scheduling.idle_jobs import IdleJobTracker
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.reason_times import ReasonTimes
from trefoilhook.scheduling.tickets import StepName

__all__ = ["FreeRoom", "WaitReason", "WaitTracker"]


class WaitReason(enum.Enum):
    """Reason why a due task was not placed in a round."""

    NO_WORKER = "no worker"
    """No worker of its service accepts new tasks."""

    EVACUATED = "evacuated"
    """The only workers that could run it are in evacuated failure domains."""

    NO_ROOM = "no room"
    """The total free capacity of all workers is less than its demand."""

    FRAGMENTED = "room in pieces"
    """The total free capacity is sufficient, but no single eligible worker has
    enough."""

    RESERVED = "reserved"
    """It would fit on a worker that is reserved for another step."""

    URGENT_DEMAND = "kept for urgent"
    """It is a service task, and the capacity is left to urgent tasks."""

    INTERFERENCE = "not borne"
    """It is a filler, and service tasks on the workers would not tolerate it."""

    BEHIND_OTHERS = "behind others"
    """Too many similar steps before it were infeasible in the round."""

    ISOLATED = "kept apart"
    """It is suspected of crashing its workers and waits to run in isolation."""

    OWNER_NEW = "owner new"
    """The owner does not know yet which tasks a previous owner has started."""

    QUEUE_UNKNOWN = "queue unknown"
    """The configuration does not contain its queue, and its service is unknown."""

    SET_ASIDE = "set aside"
    """The planning of its job has failed by an unexpected error."""

    NOT_RECORDED = "not recorded"
    """The store does not answer, so that no place can be recorded, and the workers of
    its job's group have no room."""

    WORKER_LIST_STALE = "list stale"
    """The worker entries in the store have not been read for too long."""


@attrs.frozen(kw_only=True)
class FreeRoom:
    """Free capacity of the workers that are eligible for a step.

    Parameters
    ----------
    workers : int
        Number of eligible workers.
    total_cpu, total_mb : int
        Total free capacity, in thousandths of a core and MB.
    most_mb : int
        Maximum free memory of one worker, in MB.
    has_evacuated_workers : bool
        Whether other eligible workers are in evacuated failure domains.
    """

    workers: int
    total_cpu: int
    total_mb: int
    most_mb: int
    has_evacuated_workers: bool = False

    def explain(self, demand: Demand, *, filler: bool) -> WaitReason:
        """Return why a task with ``demand`` cannot be placed."""
        if not self.workers:
            return (
                WaitReason.EVACUATED
                if self.has_evacuated_workers
                else WaitReason.NO_WORKER
            )
        if filler and demand.memory_mb <= self.most_mb:
            return WaitReason.INTERFERENCE
        if demand.cpu > self.total_cpu or demand.memory_mb > self.total_mb:
            return WaitReason.NO_ROOM
        return WaitReason.FRAGMENTED


@attrs.define(kw_only=True)
class WaitTracker:
    """Accumulated waiting time of steps by reason.

    Attributes
    ----------
    idle_jobs : IdleJobTracker
        Batch jobs with due tasks and no run; serves only the log.
    """

    idle_jobs: IdleJobTracker = attrs.field(factory=IdleJobTracker, init=False)
    _steps: dict[StepName, ReasonTimes[WaitReason]] = attrs.Factory(dict)

    def record(self, step: StepName, reason: WaitReason, now_ms: float) -> None:
        """Record why the tasks of a step were not placed in a round."""
        known = self._steps.get(step)
        if known is None:
            self._steps[step] = ReasonTimes(recorded_ms=now_ms, reason=reason)
        else:
            known.record(reason, now_ms)

    def get_main_reason(self, step: StepName) -> WaitReason | None:
        """Return the reason for most of a step's wait, or None if it has not waited."""
        known = self._steps.get(step)
        if known is None:
            return None
        if not known.by_reason:
            return known.reason
        return known.by_reason.most_common(1)[0][0]

    def list_reasons(self, step: StepName) -> tuple[tuple[WaitReason, float], ...]:
        """Return the time waited for each reason, in ms, in descending order.

        The time since the last round is not included.
        """
        known = self._steps.get(step)
        return known.list_times() if known is not None else ()

    def measure_wait(self, step: StepName, reason: WaitReason) -> float:
        """Return the time for which a step has waited for a reason, in ms.

        The time since the last round is not included.
        """
        known = self._steps.get(step)
        return float(known.by_reason[reason]) if known is not None else 0.0

    def get_last_reason(self, step: StepName) -> WaitReason | None:
        """Return why a step was not placed in its last round, or None."""
        known = self._steps.get(step)
        return known.reason if known is not None else None

    def retain(self, waiting: set[StepName]) -> None:
        """Remove all steps that are not in ``waiting``."""
        for step in self._steps.keys() - waiting:
            del self._steps[step]
