"""Workers that are reserved for waiting tasks until their capacity is free.

A task that needs more than any worker has free is passed over by smaller ones, each of
which takes a part of the capacity that it waits for. While a worker is reserved, the
parts add up.
"""

import collections
import enum
import math

import attrs

from trefoilhook.scheduling.models import Demand, Step
from trefoilhook.scheduling.tickets import StepName

__all__ = ["Reservation", "ReservationChange", "ReservationReason", "Reservations"]

_BACKFILL_MARGIN = 1.25
"""Factor by which the estimate of a task must fit into the time until a reservation is
due: the estimates are declared, and a task that ends late delays the reservation."""

_MAX_UNREAD_CHANGES = 500
"""Number of changes that are kept for the log. Each worker changes at most a few times
between two reads."""

_OVERDUE_MEMORY_MS = 60_000.0
"""Time after which an overdue reservation is forgotten, in ms; the step has started
elsewhere or ended by then."""


class ReservationReason(enum.Enum):
    """Reason for which a reservation begins or ends."""

    DISPLACED = "displaced"
    """Begins: a service task that has run has lost its worker."""

    WAITED = "waited"
    """Begins: a wide task has waited."""

    STARTED = "started"
    """Ends: a task of the step has been started on the worker."""

    NOT_NEEDED = "not needed"
    """Ends: no more tasks of the step wait than other workers are reserved for."""

    UNUSABLE = "worker unusable"
    """Ends: the worker accepts no new task."""

    OVERDUE = "overdue"
    """Ends: the worker has not become free in time."""


@attrs.define(kw_only=True, eq=False)
class Reservation:
    """A worker that is reserved for one task of a step.

    Parameters
    ----------
    step : StepName
        Step of the task.
    worker_id : str
        The worker.
    priority : int
        Priority of the task.
    demand : Demand
        Counted capacity that the task requires.
    begun_ms, due_ms : float
        Time since when the worker is reserved, and time at which it is expected to have
        the capacity, in ms.
    work : float
        Jobs of the same priority with less work rank before the task and may start on
        the worker; 0 for a service task.
    allows_backfill : bool
        Whether other tasks may start there that are expected to end before it is due.
    wall_ms : float
        Time of the current round, in ms since the Unix epoch.
    left_ms : float
        Time until it is due, as of the current round, in ms.
    limit : Demand
        Capacity that may be held there, as of the current round, by tasks that do not
        end in time.
    """

    step: StepName
    worker_id: str
    priority: int
    demand: Demand
    begun_ms: float
    due_ms: float
    work: float = 0.0
    allows_backfill: bool = True
    wall_ms: float = 0.0
    left_ms: float = 0.0
    limit: Demand = attrs.Factory(Demand)

    def admits(
        self, step: Step, name: StepName, *, priority: int, work: float, held: Demand
    ) -> bool:
        """Return whether a task may be started on the reserved worker.

        Parameters
        ----------
        step, name : Step, StepName
            Step of the task.
        priority : int
            Priority of the task.
        work : float
            Work of its job; infinite if the job is late.
        held : Demand
            Capacity that is held on the worker.
        """
        if name == self.step or (priority, work) < (self.priority, self.work):
            return True
        if self.allows_backfill and self._is_over_in_time(step):
            return True
        room = step.room
        return (
            (not room.cpu or held.cpu + room.cpu <= self.limit.cpu)
            and (not room.gpus or held.gpus + room.gpus <= self.limit.gpus)
            and held.memory_mb + room.memory_mb <= self.limit.memory_mb
        )

    def _is_over_in_time(self, step: Step) -> bool:
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
        Time at which a step without a suitable worker is tried again, in ms.
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
        """Return whether a reservation for a step was overdue since it last started."""
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
        """Return and forget the changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes
