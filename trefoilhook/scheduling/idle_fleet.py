"""Jobs without runs, and whether their service has capacity to spare."""

import attrs

from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.placing import list_answering_workers

__all__ = ["IdleFleet"]

_MIN_IDLE_SHARE = 0.45
"""Minimum fraction of a service's processors without reservation for its jobs to be
entitled to a run each. With less, jobs compete and some have to wait. Users expect it
from half on; they count what is in use, which is less than what is reserved by the
tasks that are being started."""


@attrs.frozen(kw_only=True)
class _IdleCapacity:
    """Processors without reservation and all of a service, in thousandths of a core."""

    cpu: int
    total_cpu: int


@attrs.define(kw_only=True)
class IdleFleet:
    """Which services are mostly idle, computed once per round and service.

    Parameters
    ----------
    scheduler : Scheduler
        Scheduler of the shard.
    """

    scheduler: Scheduler
    _by_service: dict[str, _IdleCapacity] = attrs.Factory(dict)

    def is_idle_for(self, task: TaskState) -> bool:
        """Return whether the service of a task is mostly idle."""
        idle = self._find(task)
        return idle is not None and idle.cpu > _MIN_IDLE_SHARE * idle.total_cpu

    def get_idle_share(self, task: TaskState) -> float:
        """Return the fraction of the service's processors without reservation."""
        idle = self._find(task)
        return idle.cpu / idle.total_cpu if idle is not None and idle.total_cpu else 0.0

    def _find(self, task: TaskState) -> _IdleCapacity | None:
        queue = task.job.queue
        if queue is None:
            return None
        known = self._by_service.get(queue.service)
        if known is None:
            known = self._by_service[queue.service] = self._measure(queue.service)
        return known

    def _measure(self, service: str) -> _IdleCapacity:
        workers = list_answering_workers(self.scheduler, service)
        capacity = sum(worker.report.capacity.cpu for worker in workers)
        reserved = sum(worker.cpu for worker in workers)
        return _IdleCapacity(cpu=capacity - reserved, total_cpu=capacity)
