"""Reservations of workers for displaced service tasks, with backfilling.

A service task that has lost its worker may need more capacity than any worker has
free. It would be starved by smaller tasks that use the capacity as it becomes free. A
reserved worker accumulates free capacity until the task fits.
"""

import collections
import enum
import math

import attrs

from trefoilhook.scheduling.models import Demand, Step
from trefoilhook.scheduling.tickets import StepName

__all__ = ["Reservation", "ReservationChange", "ReservationReason", "Reservations"]

_BACKFILL_MARGIN = 1.25
"""Safety factor on the declared duration of a backfilled task, which delays the
reserved task if it ends late."""

_MAX_UNREAD_CHANGES = 500
"""Maximum number of changes that are kept until they are logged."""

_OVERDUE_MEMORY_MS = 60_000.0
"""Time for which an overdue reservation disables backfilling for its step, in ms."""


class ReservationReason(enum.Enum):
    """Reason why a reservation begins or ends."""

    DISPLACED = "displaced"
    """Begins: a service task lost its worker."""

    STARTED = "started"
    """Ends: a task of the step has been started on the worker."""

    NOT_NEEDED = "not needed"
    """Ends: fewer tasks of the step wait than workers are reserved for it."""

    UNUSABLE = "worker unusable"
    """Ends: the worker cannot run the task any more."""

    OVERDUE = "overdue"
    """Ends: the capacity did not become free in time."""


@attrs.define(kw_only=True, eq=False)
class Reservation:
    """A worker that is reserved for one task of a step.

    Parameters
    ----------
    step : StepName
        Step of the task.
    worker_id : str
        Id of the worker.
    priority : int
        Priority of the task.
    demand : Demand
        Counted capacity that the task requires.
    begun_ms, due_ms : float
        Start of the reservation, and time at which the worker is expected to have the
        capacity, in ms.
    allows_backfill : bool
        Whether tasks that are expected to end before the due time may start there.
    left_ms : float
        Time until the due time, as of the current round, in ms.
    limit : Demand
        Capacity that may be held on the worker, as of the current round, if a task does
        not end before the due time.
    """

    step: StepName
    worker_id: str
    priority: int
    demand: Demand
    begun_ms: float
    due_ms: float
    allows_backfill: bool = True
    left_ms: float = 0.0
    limit: Demand = attrs.Factory(Demand)

    def admits(
        self, step: Step, name: StepName, *, priority: int, held: Demand
    ) -> bool:
        """Return whether a task may be started on the reserved worker.

        Parameters
        ----------
        step, name : Step, StepName
            Step of the task.
        priority : int
            Priority of the task.
        held : Demand
            Capacity that is held on the worker.
        """
        if name == self.step or priority < self.priority:
            return True
        if self.allows_backfill and self._ends_in_time(step):
            return True
        room = step.room
        return (
            (not room.cpu or held.cpu + room.cpu <= self.limit.cpu)
            and (not room.gpus or held.gpus + room.gpus <= self.limit.gpus)
            and held.memory_mb + room.memory_mb <= self.limit.memory_mb
        )

    def _ends_in_time(self, step: Step) -> bool:
        if step.long_running or step.estimate_ms <= 0.0:
            return False
        return _BACKFILL_MARGIN * step.estimate_ms <= self.left_ms


@attrs.frozen(kw_only=True)
class ReservationChange:
    """The beginning or the end of a reservation.

    Parameters
    ----------
    reservation : Reservation
        The reservation.
    reason : ReservationReason
        Why it begins or ends.
    at_ms : float
        Time, in ms.
    has_begun : bool
        Whether it begins.
    """

    reservation: Reservation
    reason: ReservationReason
    at_ms: float
    has_begun: bool


@attrs.define(kw_only=True)
class Reservations:
    """Reservations of one owner, by worker.

    Parameters
    ----------
    by_worker : dict of str to Reservation
        Current reservations by the id of their worker.
    retry_ms : dict of StepName to float
        Time from which a step without a suitable worker is tried again, in ms.
    """

    by_worker: dict[str, Reservation] = attrs.Factory(dict)
    retry_ms: dict[StepName, float] = attrs.Factory(dict)
    _overdue_ms: dict[StepName, float] = attrs.Factory(dict)
    _changes: collections.deque[ReservationChange] = attrs.Factory(
        lambda: collections.deque(maxlen=_MAX_UNREAD_CHANGES)
    )

    @property
    def count(self) -> int:
        """Number of reserved workers."""
        return len(self.by_worker)

    def count_step(self, step: StepName) -> int:
        """Return the number of workers that are reserved for a step."""
        return sum(each.step == step for each in self.by_worker.values())

    def has_been_overdue(self, step: StepName, now_ms: float) -> bool:
        """Return whether a recent reservation for a step was overdue."""
        return now_ms - self._overdue_ms.get(step, -math.inf) <= _OVERDUE_MEMORY_MS

    def begin(self, reservation: Reservation, reason: ReservationReason) -> None:
        """Add a reservation."""
        self.by_worker[reservation.worker_id] = reservation
        self._changes.append(
            ReservationChange(
                reservation=reservation,
                reason=reason,
                at_ms=reservation.begun_ms,
                has_begun=True,
            )
        )

    def end(
        self, reservation: Reservation, reason: ReservationReason, now_ms: float
    ) -> None:
        """Remove a reservation."""
        del self.by_worker[reservation.worker_id]
        if reason is ReservationReason.OVERDUE:
            self._overdue_ms = {
                step: at_ms
                for step, at_ms in self._overdue_ms.items()
                if now_ms - at_ms <= _OVERDUE_MEMORY_MS
            }
            self._overdue_ms[reservation.step] = now_ms
        elif reason is not ReservationReason.UNUSABLE:
            self._overdue_ms.pop(reservation.step, None)
        self._changes.append(
            ReservationChange(
                reservation=reservation, reason=reason, at_ms=now_ms, has_begun=False
            )
        )

    def take_changes(self) -> list[ReservationChange]:
        """Return the changes since the last call and clear them."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
