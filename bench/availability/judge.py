"""The users' rule on service tasks, as an invariant."""

import attrs

from bench.availability.fleet import Fleet, ServiceJob
from trefoilhook.scheduling import list_long_waits

__all__ = ["Judge", "Violation"]

_SAMPLE_MS = 100.0
_MIN_AWAY_MS = 6000.0
"""Time without a run from which a task is judged, in ms."""

_ROOM_MS = 3000.0
"""Time for which there is capacity for it twice over, in ms."""

_CALM_MS = 7000.0
"""Time without a disruption by then, in ms: that time and the 4 s before it."""


@attrs.frozen(kw_only=True)
class Violation:
    """A service task that does not run although there is capacity for it.

    Parameters
    ----------
    task : str
        The task.
    at_ms : float
        Time, in ms since the begin of the series.
    away_ms : float
        Time since its last run, or since the acceptance of its job, in ms.
    wait : str
        What the owner says that it waits for.
    """

    task: str
    at_ms: float
    away_ms: float
    wait: str


@attrs.define(kw_only=True)
class _TaskWatch:
    last_run_ms: float
    room_since_ms: float | None = None
    is_reported: bool = False


@attrs.frozen(kw_only=True)
class _Free:
    """Free capacity of a worker, and its tasks by job."""

    cpu: int
    mem_mb: int
    by_job: dict[str, int]
    labels: tuple[str, ...]


@attrs.define(kw_only=True)
class Judge:
    """Checks all service tasks periodically.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    contact_ms : float
        Time after the end of a disruption until it is calm, in ms.
    """

    fleet: Fleet
    contact_ms: float = 4000.0
    disrupted_until_ms: float = float("-inf")
    violations: list[Violation] = attrs.Factory(list)
    longest_ms: float = 0.0
    longest_disrupted_ms: float = 0.0
    _watches: dict[str, _TaskWatch] = attrs.Factory(dict)
    _began_ms: float = 0.0

    async def run(self) -> None:
        """Check until cancelled."""
        self._began_ms = self.fleet.clock.monotonic_ms()
        while True:
            await self.fleet.clock.sleep_ms(_SAMPLE_MS)
            self._check(self.fleet.clock.monotonic_ms())

    def _check(self, now_ms: float) -> None:
        free = self._measure_free()
        running = {
            record.task
            for worker in self.fleet.workers.values()
            if not worker.is_powered_off
            for record in worker.list_open()
        }
        calm_ms = now_ms - max(
            self._began_ms, self.disrupted_until_ms + self.contact_ms
        )
        for job in self.fleet.services.values():
            if job.is_cancelled or job.job_id in self.fleet.given_up:
                continue
            has_room = self._has_room(job, free)
            for index in range(job.count):
                task = f"{job.job_id}.0.0.{index}"
                self._check_task(task, job, running, now_ms, calm_ms, has_room)

    def _check_task(
        self,
        task: str,
        job: ServiceJob,
        running: set[str],
        now_ms: float,
        calm_ms: float,
        has_room: bool,
    ) -> None:
        watch = self._watches.get(task)
        if watch is None:
            watch = self._watches[task] = _TaskWatch(last_run_ms=job.accepted_ms)
        if task in running:
            watch.last_run_ms = now_ms
            watch.room_since_ms = None
            watch.is_reported = False
            return
        away_ms = now_ms - watch.last_run_ms
        if not has_room or away_ms < _MIN_AWAY_MS:
            watch.room_since_ms = None
            return
        if watch.room_since_ms is None:
            watch.room_since_ms = now_ms
        room_ms = now_ms - watch.room_since_ms
        self.longest_disrupted_ms = max(self.longest_disrupted_ms, room_ms)
        if calm_ms >= _CALM_MS:
            self.longest_ms = max(self.longest_ms, room_ms)
        if room_ms >= _ROOM_MS and calm_ms >= _CALM_MS and not watch.is_reported:
            watch.is_reported = True
            self.violations.append(
                Violation(
                    task=task,
                    at_ms=now_ms - self._began_ms,
                    away_ms=away_ms,
                    wait=self._describe_wait(task, now_ms),
                )
            )

    def _describe_wait(self, task: str, now_ms: float) -> str:
        scheduler = self.fleet.find_scheduler()
        if scheduler is None:
            return "no owner"
        step = task.rpartition(".")[0]
        for wait in list_long_waits(scheduler, min_wait_ms=0.0, now_ms=now_ms):
            if wait.task.rpartition(".")[0] == step:
                reserved = scheduler.reservations.count
                return f"{wait}, {reserved} reserved workers"
        return "not waiting"

    def _measure_free(self) -> list[_Free]:
        free = []
        for worker in self.fleet.list_alive():
            cpu, mem_mb = worker.capacity["cpu"], worker.capacity["mem_mb"]
            by_job: dict[str, int] = {}
            for record in worker.list_open():
                job_id = record.task.partition(".")[0]
                needs = self.fleet.find_needs(record.task)
                cpu, mem_mb = cpu - needs[0], mem_mb - needs[1]
                by_job[job_id] = by_job.get(job_id, 0) + 1
            free.append(
                _Free(cpu=cpu, mem_mb=mem_mb, by_job=by_job, labels=worker.labels)
            )
        return free

    def _has_room(self, job: ServiceJob, free: list[_Free]) -> bool:
        """Return whether there is capacity for a task twice over."""
        places = 0
        for worker in free:
            if job.label and job.label not in worker.labels:
                continue
            fitting = min(worker.cpu // job.cpu, worker.mem_mb // job.mem_mb)
            if job.max_per_worker:
                running = worker.by_job.get(job.job_id, 0)
                fitting = min(fitting, job.max_per_worker - running)
            places += max(0, fitting)
        return places >= 2
