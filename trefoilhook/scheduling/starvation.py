"""Starts one throttled task of each batch job that would otherwise starve.

A filler is placed where the service tasks tolerate it at full speed. If no worker runs
images that tolerate it, there is no such worker even if much of the fleet is idle: on
one day with 24 workers, 258 to 534 fillers waited while 61 % of the processors were
idle, as each would have cost 0.9 to 1.5 of a slack of 1.5. The cost is proportional to
the filler's speed. Therefore a job that has waited with nothing running gets one
throttled task, which stays throttled and is moved once a worker tolerates it at full
speed.

Throttled tasks also keep the interference model of their images up to date: a pair that
is never tried cannot be learned again.
"""

import heapq
import itertools
from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.fleet import Worker
from trefoilhook.scheduling.idle_fleet import IdleFleet
from trefoilhook.scheduling.job_activity import has_live_runs
from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.models import Demand
from trefoilhook.scheduling.placing import can_host
from trefoilhook.scheduling.rounds import (
    AssignmentRound,
    next_attempt_number,
    reserve_capacity,
)
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["STARVATION_DELAY_MS", "THROTTLED_PACE", "reserve_for_starved_jobs"]

STARVATION_DELAY_MS = 2000.0
"""Time without a running task after which a job is starved, in ms. On a mostly idle
fleet, users take a job with nothing running for 3 s as lost; before this time, only the
rank of the jobs is decisive."""

_DISTURBING_DELAY_MS = 2300.0
"""Time without a running task after which a starved job gets one beside service tasks
that keep too little slack, beside fillers that use all processors, on a faulty worker,
or in memory that fillers leave to other tasks, if it finds no other worker, in ms.
Fillers are halted where a service task exceeds its limit."""

THROTTLED_PACE = 5
"""Pace of a throttled task, in percent. Slack is assigned by rank to jobs that can meet
their objectives. Faster throttled tasks would take slack from these jobs, and fewer of
them would be on time."""

_MIN_SLACK = 1.0
"""Slack that service tasks beside a throttled task must keep; 1 is at the limit."""

_SLACK_TOLERANCE = 0.05
"""Difference in slack up to which two workers are equally suitable."""

_MAX_SPREAD = 2
"""Number of throttled tasks that a worker may run beyond those of the least used one
before less suitable workers are used. Spreads the jobs' only runs: the loss of a worker
with many of them leaves all of these jobs with nothing running."""


def reserve_for_starved_jobs(
    assignment_round: AssignmentRound,
    ready: list[list[TaskState]],
) -> None:
    """Reserve capacity for one throttled task of each starved job.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round, after all regular assignments.
    ready : list of list of TaskState
        Waiting tasks by step, in the order of their ranks.
    """
    now_ms = assignment_round.now_ms
    idle_times = assignment_round.scheduler.idle_times
    idle_fleet = IdleFleet(scheduler=assignment_round.scheduler)
    search = _WorkerSearch(assignment_round=assignment_round)
    for job_id, steps in _list_idle_jobs(ready).items():
        since_ms = idle_times.find_since(job_id)
        idle_ms = now_ms - since_ms if since_ms is not None else 0.0
        if idle_ms >= STARVATION_DELAY_MS and idle_fleet.is_idle_for(steps[0][0]):
            tasks = itertools.chain.from_iterable(map(_list_different, steps))
            _start_one(assignment_round, search, tasks, idle_ms)


def _start_one(
    assignment_round: AssignmentRound,
    search: "_WorkerSearch",
    tasks: Iterable[TaskState],
    idle_ms: float,
) -> None:
    """Reserve capacity for the first of a starved job's tasks that can start."""
    for task in tasks:
        if not assignment_round.isolation.may_start(
            task, assignment_round.now_ms, is_overdue=True
        ):
            continue
        worker = search.find(task, may_disturb=idle_ms >= _DISTURBING_DELAY_MS)
        if worker is None:
            continue
        attempt = next_attempt_number(assignment_round.scheduler, task)
        reserve_capacity(
            assignment_round, task, worker, attempt, initial_pace=THROTTLED_PACE
        )
        return


def _list_idle_jobs(
    ready: Iterable[list[TaskState]],
) -> dict[str, list[list[TaskState]]]:
    """Return waiting fillers of each job without runs, by job id and step, in order.

    Members of a gang run only together with all others, so that they are not throttled.
    """
    found: dict[str, list[list[TaskState]]] = {}
    running: dict[str, bool] = {}
    for tasks in ready:
        task = tasks[0]
        if not task.step.filler or task.step.gang:
            continue
        job_id = task.task.job_id
        if job_id not in running:
            running[job_id] = has_live_runs(task.job)
        if not running[job_id]:
            found.setdefault(job_id, []).append(tasks)
    return found


def _list_different(tasks: Iterable[TaskState]) -> list[TaskState]:
    """Return one of the tasks of a step for each set of workers on which they failed.

    Such tasks are identical otherwise.
    """
    found: dict[frozenset[str], TaskState] = {}
    for task in tasks:
        found.setdefault(frozenset(task.shared.failed_on), task)
    return list(found.values())


@attrs.define(kw_only=True)
class _RatedWorkers:
    """Candidate workers for the throttled tasks of one image.

    Parameters
    ----------
    heap : list of (float, int, Worker)
        Negative upper bound of the slack that a worker's service tasks keep beside one
        more of these tasks, a number that makes the entries unique, and the worker.
    max_throttled : int
        Number of throttled tasks from which a worker is crowded.
    crowded : list of (float, int, Worker)
        Entries of crowded workers, which are used if there is no other.
    rejected : list of Demand
        Demands for which no worker keeps enough slack.
    infeasible : list of Demand
        Demands for which no worker has the capacity.
    """

    heap: list[tuple[float, int, Worker]]
    max_throttled: int
    crowded: list[tuple[float, int, Worker]] = attrs.Factory(list)
    rejected: list[Demand] = attrs.Factory(list)
    infeasible: list[Demand] = attrs.Factory(list)


@attrs.define(kw_only=True)
class _WorkerSearch:
    """Searches workers for throttled tasks in one round.

    The slack of a worker's service tasks only falls during a round. Workers are
    therefore kept in the order of upper bounds, and only the first ones are rated for a
    task: many starved jobs cost little more than one.

    Parameters
    ----------
    assignment_round : AssignmentRound
        Current round.
    """

    assignment_round: AssignmentRound
    _rated: dict[tuple[str, str, str, str, StepName | None, bool], _RatedWorkers] = (
        attrs.Factory(dict)
    )
    _bounds: dict[str, float] = attrs.Factory(dict)
    _throttled: dict[str, int] = attrs.Factory(dict)

    def find(self, task: TaskState, *, may_disturb: bool) -> Worker | None:
        """Return the worker whose service tasks keep the most slack beside a task.

        Parameters
        ----------
        task : TaskState
            Starved task.
        may_disturb : bool
            Whether the service tasks may keep less slack than they require, other
            fillers may use all processors, and avoided workers are used if there is no
            other.
        """
        worker = self._find(task, may_disturb=False, includes_avoided=False)
        if worker is None and may_disturb:
            worker = self._find(task, may_disturb=True, includes_avoided=False)
        if worker is None and may_disturb:
            worker = self._find(task, may_disturb=True, includes_avoided=True)
        if worker is not None:
            worker_id = worker.report.worker_id
            self._throttled[worker_id] = self._count_throttled(worker) + 1
        return worker

    def _find(
        self, task: TaskState, *, may_disturb: bool, includes_avoided: bool
    ) -> Worker | None:
        rated = self._get_rated(task, includes_avoided=includes_avoided)
        room = task.step.room
        rejected = rated.infeasible if may_disturb else rated.rejected
        if any(room.covers(each) for each in rejected):
            return None
        max_throttled = rated.max_throttled
        worker = self._find_best(rated, task, may_disturb=may_disturb)
        while worker is None and self._admit_crowded(rated, task, may_disturb):
            worker = self._find_best(rated, task, may_disturb=may_disturb)
        if worker is None:
            rated.max_throttled = max_throttled
            if not task.shared.failed_on:
                # Other tasks of its step don't limit it, as its job has no run.
                rejected.append(room)
        return worker

    def _admit_crowded(
        self, rated: _RatedWorkers, task: TaskState, may_disturb: bool
    ) -> bool:
        """Allow more throttled tasks on each worker, if one of them may run a task."""
        counts = [
            self._count_throttled(worker)
            for bound, _, worker in rated.crowded
            if (may_disturb or -bound > _MIN_SLACK)
            and self._is_eligible(worker, task, may_disturb=may_disturb)
        ]
        if counts:
            rated.max_throttled = min(counts) + _MAX_SPREAD
        for entry in rated.crowded:
            heapq.heappush(rated.heap, entry)
        rated.crowded.clear()
        return bool(counts)

    def _count_throttled(self, worker: Worker) -> int:
        """Return the number of throttled tasks on a worker, with those just found."""
        worker_id = worker.report.worker_id
        count = self._throttled.get(worker_id)
        if count is None:
            count = sum(run.is_throttled for run in worker.runs.values())
            self._throttled[worker_id] = count
        return count

    def _find_best(
        self, rated: _RatedWorkers, task: TaskState, *, may_disturb: bool
    ) -> Worker | None:
        """Return the worker with the most slack that isn't crowded."""
        heap = rated.heap
        passed: list[tuple[float, int, Worker]] = []
        found: tuple[float, int, Worker] | None = None
        while heap and found is None:
            bound, number, worker = heapq.heappop(heap)
            if self._count_throttled(worker) >= rated.max_throttled:
                rated.crowded.append((bound, number, worker))
                continue
            if not self._is_eligible(worker, task, may_disturb=may_disturb):
                passed.append((bound, number, worker))
                continue
            slack = self._predict_slack(worker, task)
            is_outdated = slack < -bound - _SLACK_TOLERANCE
            if is_outdated and heap and slack < -heap[0][0] - _SLACK_TOLERANCE:
                heapq.heappush(heap, (-slack, number, worker))
            elif slack > _MIN_SLACK or may_disturb:
                found = (-slack, number, worker)
            else:
                passed.append((-slack, number, worker))
        for entry in passed:
            heapq.heappush(heap, entry)
        if found is None:
            return None
        heapq.heappush(heap, found)
        return found[2]

    def _get_rated(self, task: TaskState, *, includes_avoided: bool) -> _RatedWorkers:
        step, queue = task.step, task.job.queue
        service = queue.service if queue is not None else ""
        has_advice = queue is not None and queue.advice is not None
        key = (
            service,
            step.image,
            step.required_label,
            step.data_rack,
            name_step(task.task) if has_advice else None,
            includes_avoided,
        )
        rated = self._rated.get(key)
        if rated is None:
            workers = self.assignment_round.list_candidates(
                task, includes_avoided=includes_avoided
            )
            heap = [
                (-self._get_bound(worker, task), number, worker)
                for number, worker in enumerate(workers)
                if worker.over_limit_since_ms is None
            ]
            heapq.heapify(heap)
            least = min((self._count_throttled(entry[2]) for entry in heap), default=0)
            rated = self._rated[key] = _RatedWorkers(
                heap=heap, max_throttled=least + _MAX_SPREAD
            )
        return rated

    def _get_bound(self, worker: Worker, task: TaskState) -> float:
        """Return the slack of a worker's service tasks beside a halted task."""
        worker_id = worker.report.worker_id
        bound = self._bounds.get(worker_id)
        if bound is None:
            bound = self._predict_slack(worker, task, pace=0)
            self._bounds[worker_id] = bound
        return bound

    def _predict_slack(
        self, worker: Worker, task: TaskState, *, pace: int = THROTTLED_PACE
    ) -> float:
        colocations = self.assignment_round.colocations
        return colocations.lookup(worker).predict_slack(
            colocations.interference, task.step, pace=pace
        )

    def _is_eligible(
        self, worker: Worker, task: TaskState, *, may_disturb: bool
    ) -> bool:
        if worker.report.worker_id in task.shared.failed_on:
            # Waiting is preferable to using up the task's attempts on this worker.
            return False
        if worker in self.assignment_round.isolation.hosts:
            # If the isolated run crashes it, this task may be given up in its place.
            return False
        if not can_host(
            worker, task, ignores_reservations=True, uses_all_memory=may_disturb
        ):
            return False
        if may_disturb:
            # Fillers share the processors, which are not counted for them.
            return True
        needed_cpu = task.step.demand.cpu * THROTTLED_PACE / 100.0
        return self.assignment_round.colocations.lookup(worker).spare_cpu >= needed_cpu
