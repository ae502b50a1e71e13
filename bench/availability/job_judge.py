"""The users' rules on batch jobs, as invariants."""

from collections import Counter

import attrs

from bench.availability.fleet import CRASHES, SILENCES, BatchJob, Fleet
from bench.availability.network import Fault
from bench.availability.worker import VirtualWorker
from trefoilhook.scheduling import list_long_waits
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["JobJudge", "JobViolation"]

_SAMPLE_MS = 200.0
_IDLE_MS = 3000.0
"""Time with nothing running after which a job is lost, in ms."""

_EXPLAINED_MS = 1000.0
"""Time before the end of that time at which the owner is asked for its reason, in
ms."""

_MIN_PLACES = 2
_MAX_USED_SHARE = 0.5
"""Capacity beside which a job has to run: for two of its tasks, and with less than this
fraction of the processors in use."""

_LEASE_MS = 5400.0
"""Longest lease on a worker that falls silent, with the margin for its clock, in ms."""

_MAX_STARTS = 5
"""Starts of a task that ends its workers: two after three crashes."""


@attrs.frozen(kw_only=True)
class JobViolation:
    """A job with nothing running although a task could run.

    Parameters
    ----------
    job_id : str
        The job.
    at_ms : float
        Time, in ms since the begin of the series.
    idle_ms : float
        Time since its last run or its acceptance, in ms.
    used_share : float
        Fraction of the processors in use.
    wait : str
        What the owner says that it waits for, a second earlier.
    """

    job_id: str
    at_ms: float
    idle_ms: float
    used_share: float
    wait: str


@attrs.define(kw_only=True)
class _JobWatch:
    idle_since_ms: float
    entitled_since_ms: float | None = None
    is_reported: bool = False
    wait: str = ""


@attrs.frozen(kw_only=True)
class _Sample:
    """What runs at a time.

    Parameters
    ----------
    now_ms : float
        The time, in ms.
    running : set of str
        Jobs with open runs.
    held : set of str
        Tasks with open runs, and with runs on silent machines that may be open.
    done : dict of str to set of str
        Completed tasks by step.
    free : list of tuple
        Workers that take tasks, with their free processors (thousandths), memory (MB)
        and open runs by step.
    used_share : float
        Fraction of the processors in use.
    """

    now_ms: float
    running: set[str]
    held: set[str]
    done: dict[str, set[str]]
    free: list[tuple[VirtualWorker, int, int, Counter[str]]]
    used_share: float


@attrs.define(kw_only=True)
class JobJudge:
    """Checks all batch jobs from a given time on, in calm or not.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    begin_ms : float
        Time from which jobs are judged, in ms since the start.
    """

    fleet: Fleet
    begin_ms: float
    violations: list[JobViolation] = attrs.Factory(list)
    longest_ms: float = 0.0
    longest_early_ms: float = 0.0
    _watches: dict[str, _JobWatch] = attrs.Factory(dict)
    _began_ms: float = 0.0

    async def run(self) -> None:
        """Check until cancelled."""
        self._began_ms = self.fleet.clock.monotonic_ms()
        while True:
            await self.fleet.clock.sleep_ms(_SAMPLE_MS)
            self._check(self.fleet.clock.monotonic_ms())

    def find_given_up(self) -> list[str]:
        """Return the jobs without a culprit that were given up."""
        return [
            job_id
            for job_id in self.fleet.given_up
            if job_id in self.fleet.batch_jobs
            and not self.fleet.batch_jobs[job_id].culprit
        ]

    def find_overstarted(self, *, allowed: int) -> list[str]:
        """Return the culprits that were started too often, with their starts.

        Parameters
        ----------
        allowed : int
            Starts allowed beyond those of one owner, for culprits that silence their
            workers: each owner may start them once more.
        """
        starts = Counter(run.task for run in self.fleet.culprit_runs)
        found = []
        for task, count in sorted(starts.items()):
            culprit = self.fleet.batch_jobs[task.partition(".")[0]].culprit
            limit = _MAX_STARTS + (allowed if culprit == SILENCES else 0)
            if culprit in (CRASHES, SILENCES) and count > limit:
                found.append(f"{task} {culprit}: {count} starts")
        return found

    def _check(self, now_ms: float) -> None:
        workers = [
            worker
            for worker in self.fleet.workers.values()
            if not worker.is_powered_off
        ]
        open_tasks: set[str] = set()
        used = 0
        free: list[tuple[VirtualWorker, int, int, Counter[str]]] = []
        for worker in workers:
            cpu, mem_mb = worker.capacity["cpu"], worker.capacity["mem_mb"]
            steps: Counter[str] = Counter()
            for record in worker.list_open():
                needs = self.fleet.find_needs(record.task)
                cpu, mem_mb = cpu - needs[0], mem_mb - needs[1]
                used += needs[0]
                open_tasks.add(record.task)
                steps[record.task.rpartition(".")[0]] += 1
            if not worker.is_draining:
                free.append((worker, cpu, mem_mb, steps))
        capacity = sum(worker.capacity["cpu"] for worker in workers)
        sample = _Sample(
            now_ms=now_ms,
            running={task.partition(".")[0] for task in open_tasks},
            held=open_tasks | self._list_leased(now_ms),
            done=self._list_done(),
            free=free,
            used_share=used / capacity if capacity else 1.0,
        )
        for job in self.fleet.batch_jobs.values():
            if job.accepted_ms is None or job.culprit:
                continue
            self._check_job(job, sample)

    def _list_leased(self, now_ms: float) -> set[str]:
        """Return the tasks with runs on silent machines whose leases have not expired.

        Nobody can know that these runs have ended, and a second one is not allowed.
        """
        return {
            record.task
            for worker in self.fleet.workers.values()
            if self.fleet.network.find_fault("", worker.address) is Fault.CUT
            for record in worker.records
            if record.how == "crashed"
            and record.ended_ms is not None
            and now_ms - record.ended_ms < _LEASE_MS
        }

    def _list_done(self) -> dict[str, set[str]]:
        """Return the completed tasks by step; those that may have been lost count."""
        done: dict[str, set[str]] = {}
        for worker in self.fleet.workers.values():
            for record in worker.records:
                if _is_done(record):
                    step = record.task.rpartition(".")[0]
                    done.setdefault(step, set()).add(record.task)
        return done

    def _check_job(self, job: BatchJob, sample: _Sample) -> None:
        now_ms = sample.now_ms
        watch = self._watches.get(job.job_id)
        if watch is None:
            assert job.accepted_ms is not None
            watch = _JobWatch(idle_since_ms=job.accepted_ms)
            self._watches[job.job_id] = watch
        step = self._find_due_step(job, sample.done)
        if (
            job.job_id in sample.running
            or job.job_id in self.fleet.given_up
            or (step is not None and _is_held(job, step, sample))
        ):
            watch.idle_since_ms = now_ms
            watch.entitled_since_ms = None
            watch.is_reported = False
            watch.wait = ""
            return
        if (
            step is None
            or sample.used_share >= _MAX_USED_SHARE
            or not self._has_room(job, step, sample.free)
        ):
            watch.entitled_since_ms = None
            return
        if watch.entitled_since_ms is None:
            watch.entitled_since_ms = max(now_ms - _SAMPLE_MS, watch.idle_since_ms)
        entitled_ms = now_ms - watch.entitled_since_ms
        if now_ms - self._began_ms < self.begin_ms:
            self.longest_early_ms = max(self.longest_early_ms, entitled_ms)
            return
        judged_ms = min(entitled_ms, now_ms - self._began_ms - self.begin_ms)
        self.longest_ms = max(self.longest_ms, judged_ms)
        if not watch.wait and judged_ms >= _IDLE_MS - _EXPLAINED_MS:
            watch.wait = self._describe_wait(job, now_ms)
        if judged_ms < _IDLE_MS or watch.is_reported:
            return
        watch.is_reported = True
        self.violations.append(
            JobViolation(
                job_id=job.job_id,
                at_ms=now_ms - self._began_ms,
                idle_ms=now_ms - watch.idle_since_ms,
                used_share=sample.used_share,
                wait=watch.wait,
            )
        )

    def _find_due_step(self, job: BatchJob, done: dict[str, set[str]]) -> int | None:
        """Return the step whose turn has come, or None if the job is completed."""
        for number, step in enumerate(job.steps):
            if len(done.get(f"{job.job_id}.0.{number}", ())) < step.count:
                return number
        return None

    def _has_room(
        self,
        job: BatchJob,
        number: int,
        free: list[tuple[VirtualWorker, int, int, Counter[str]]],
    ) -> bool:
        """Return whether there is capacity for a task of a step twice over."""
        step = job.steps[number]
        places = 0
        for _, cpu, mem_mb, steps in free:
            fitting = min(cpu // step.cpu, mem_mb // step.mem_mb)
            if step.max_per_worker:
                held = steps[f"{job.job_id}.0.{number}"]
                fitting = min(fitting, step.max_per_worker - held)
            places += max(0, fitting)
            if places >= _MIN_PLACES:
                return True
        return False

    def _describe_wait(self, job: BatchJob, now_ms: float) -> str:
        scheduler = self.fleet.find_scheduler()
        if scheduler is None:
            return "no owner"
        for wait in list_long_waits(scheduler, min_wait_ms=0.0, now_ms=now_ms):
            if wait.task.partition(".")[0] == job.job_id:
                return str(wait)
        state = scheduler.jobs.get(job.job_id)
        if state is None:
            return "unknown to the owner"
        attempts = [
            f"{attempt.run.task} {attempt.run.attempt} on "
            f"{attempt.worker.report.worker_id}: {attempt.run.phase.name.lower()}, "
            f"{'silent' if attempt.worker.silence else 'answers'}"
            for task in state.tasks.values()
            for attempt in task.attempts
        ]
        return f"not waiting, attempts: {attempts}"


def _is_held(job: BatchJob, number: int, sample: _Sample) -> bool:
    """Return whether each task of a step is completed or may be running."""
    step = f"{job.job_id}.0.{number}"
    done = sample.done.get(step, set())
    tasks = (f"{step}.{index}" for index in range(job.steps[number].count))
    return all(task in done or task in sample.held for task in tasks)


def _is_done(record: TaskRecord) -> bool:
    return record.how == "done"
