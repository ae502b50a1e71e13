"""Mutual slowdown of tasks, and delayed reporting of measurements."""

from collections import deque
from collections.abc import Sequence

import attrs

from trefoilhook.standins.worker_task import PairSlowdown, SimulatedTask
from trefoilhook.workers import TaskUsage, UsageReport

__all__ = ["Measurements", "compute_slowdowns"]


def compute_slowdowns(
    running: Sequence[SimulatedTask], *, pairs: Sequence[PairSlowdown], cores: float
) -> list[float]:
    """Return the ratio of each task's run time to its run time alone.

    Parameters
    ----------
    running : sequence of SimulatedTask
        Tasks running on the worker.
    pairs : sequence of PairSlowdown
        Slowdown of each pair of task classes.
    cores : float
        Number of cores of the worker.

    Notes
    -----
    The excesses over 1 caused by neighbouring tasks are added, and scaled by the
    fraction of the worker's cores in use.
    """
    factors = {(pair.victim_class, pair.neighbour_class): pair.factor for pair in pairs}
    used_cores = sum(task.used.cores * task.throttle_factor for task in running)
    load = min(1.0, used_cores / cores)
    slowdowns: list[float] = []
    for victim in running:
        excess = 0.0
        for neighbour in running:
            if neighbour is not victim:
                pair = (victim.command.task_class, neighbour.command.task_class)
                excess += factors.get(pair, 1.0) - 1
        slowdowns.append(1 + max(0.0, excess) * load)
    return slowdowns


@attrs.frozen(kw_only=True)
class _Measurement:
    measured_at_ms: float
    usages: tuple[TaskUsage, ...]


@attrs.define(kw_only=True)
class Measurements:
    """Measurements not yet reportable, and the newest reportable one.

    Parameters
    ----------
    next_ms : float
        Time of the next measurement, in ms.
    """

    next_ms: float
    _pending: deque[_Measurement] = attrs.field(factory=deque, init=False)

    def add(
        self, usages: tuple[TaskUsage, ...], *, interval_ms: float, lag_ms: float
    ) -> None:
        """Add the measurement that is due, and drop obsolete ones."""
        measured_at_ms = self.next_ms
        self._pending.append(_Measurement(measured_at_ms=measured_at_ms, usages=usages))
        self.next_ms += interval_ms
        while len(self._pending) > 1 and (
            self._pending[1].measured_at_ms <= measured_at_ms - lag_ms
        ):
            self._pending.popleft()

    def find_report(self, now_ms: float, *, lag_ms: float) -> UsageReport | None:
        """Return the newest measurement that is at least as old as the lag."""
        newest: UsageReport | None = None
        for measurement in self._pending:
            age_ms = now_ms - measurement.measured_at_ms
            if age_ms < lag_ms:
                break
            newest = UsageReport(age_ms=age_ms, usages=measurement.usages)
        return newest

    def clear(self) -> None:
        """Drop all measurements."""
        self._pending.clear()
