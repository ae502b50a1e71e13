"""How tasks slow each other, and when a measurement of it can be told."""

from collections import deque
from collections.abc import Sequence

import attrs

from trefoilhook.standins.worker_task import PairSlowdown, SimulatedTask
from trefoilhook.workers import TaskUsage, UsageReport

__all__ = ["Measurements", "compute_slowdowns"]


def compute_slowdowns(
    running: Sequence[SimulatedTask], *, pairs: Sequence[PairSlowdown], cores: float
) -> list[float]:
    """Return each task's time over its time when running alone.

    Parameters
    ----------
    running : sequence of SimulatedTask
        All that runs on the worker.
    pairs : sequence of PairSlowdown
        Hidden slowdown of each pair of classes.
    cores : float
        Cores of the worker.

    Notes
    -----
    The excesses that a task's neighbours cause add up, and shrink in proportion when
    fewer of the worker's cores are in use.
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
    """Measurements that can't be told yet, and the newest that can.

    Parameters
    ----------
    next_ms : float
        When the next one is due, in ms.
    """

    next_ms: float
    _made: deque[_Measurement] = attrs.field(factory=deque, init=False)

    def add(
        self, usages: tuple[TaskUsage, ...], *, interval_ms: float, lag_ms: float
    ) -> None:
        """Add the measurement that is due, and forget those nobody asks for."""
        made_at_ms = self.next_ms
        self._made.append(_Measurement(measured_at_ms=made_at_ms, usages=usages))
        self.next_ms += interval_ms
        while len(self._made) > 1 and (
            self._made[1].measured_at_ms <= made_at_ms - lag_ms
        ):
            self._made.popleft()

    def find_report(self, now_ms: float, *, lag_ms: float) -> UsageReport | None:
        """Return the newest measurement that is old enough to be told."""
        newest: UsageReport | None = None
        for measurement in self._made:
            age_ms = now_ms - measurement.measured_at_ms
            if age_ms < lag_ms:
                break
            newest = UsageReport(age_ms=age_ms, usages=measurement.usages)
        return newest

    def clear(self) -> None:
        """Forget all."""
        self._made.clear()
