"""State at a takeover: workers, jobs and the placements of their tasks."""

import random
import zlib
from collections.abc import Callable

import attrs

from trefoilhook.scheduling import Demand, Job, Progress, Step, TaskId

__all__ = [
    "DOMAINS",
    "JobCase",
    "World",
    "build_world",
    "hash_group",
    "list_silent",
]

DOMAINS = {33: 3, 200: 23, 270: 5, 1000: 8, 30_000: 23}
"""Number of failure domains by number of workers."""

_RUNS_PER_WORKER = 4
_WAITING_JOBS = 0.35
_SECOND_STEP_JOBS = 0.2
_STARTED = 0.8
"""Fraction of the tasks of a begun step that were started."""

_UNACKNOWLEDGED = 0.05
"""Fraction of the started tasks that have ended and whose end is not yet saved."""

_NEVER_ORDERED = 0.02
"""Fraction of the waiting tasks whose placement was recorded but to which no order was
sent."""

_RUN_AHEAD = 0.02
"""Fraction of the jobs whose inputs ended just before the takeover and whose next step
was begun before their ends were saved."""

_LAST_INPUT_MS = 3000.0
"""Maximum time from the takeover to the end of the last input of a step, in ms."""


def hash_group(name: str, count: int) -> int:
    """Return the index of the group to which an id is hashed."""
    return zlib.crc32(name.encode()) % count


@attrs.define(kw_only=True)
class JobCase:
    """State of a job when its owner died.

    Parameters
    ----------
    job : Job
        The job.
    progress : Progress or None
        Its saved progress.
    step : int
        Step that is due.
    placed : dict of TaskId to int
        Started tasks and the numbers of their workers.
    ended : set of TaskId
        Started tasks whose completion only their workers know.
    waiting : list of TaskId
        Due tasks that were never started.
    next_due_ms : float
        Time at which the next step becomes due, in ms after the takeover.
    is_ahead : bool
        Whether tasks of the next step were started before the inputs were saved.
    """

    job: Job
    progress: Progress | None
    step: int
    placed: dict[TaskId, int] = attrs.Factory(dict)
    ended: set[TaskId] = attrs.Factory(set)
    waiting: list[TaskId] = attrs.Factory(list)
    next_due_ms: float = 0.0
    is_ahead: bool = False

    @property
    def has_next_step(self) -> bool:
        """Whether a step follows the one that is due."""
        return self.step + 1 < len(self.job.steps)

    def is_opening(self, silent: set[int]) -> bool:
        """Return whether the next step can become due while some workers are silent."""
        return (
            self.has_next_step
            and bool(self.placed)
            and not self.is_ahead
            and not any(number in silent for number in self.placed.values())
        )


@attrs.define(kw_only=True)
class World:
    """State at a takeover.

    Parameters
    ----------
    workers : list of str
        Ids of the workers.
    domains : list of int
        Failure domain of each worker.
    jobs : list of JobCase
        Open jobs.
    recorded : dict of TaskId to int
        Tasks with a recorded placement and the numbers of their workers, including
        tasks to which no order was sent.
    unrecorded : set of TaskId
        Tasks started without a record while the store was unavailable.
    """

    workers: list[str]
    domains: list[int]
    jobs: list[JobCase] = attrs.Factory(list)
    recorded: dict[TaskId, int] = attrs.Factory(dict)
    unrecorded: set[TaskId] = attrs.Factory(set)


Placement = Callable[[JobCase, random.Random], int]


def _build_job(generator: random.Random, number: int) -> Job:
    kind = generator.random()
    demand = Demand(cpu=1600, memory_mb=3200)

    def draw_width(mean: int) -> int:
        return generator.randint(1, 2 * mean - 1)

    if kind < 0.05:
        steps: tuple[Step, ...] = (
            Step(count=draw_width(6), demand=demand, long_running=True),
        )
    elif kind < 0.5:
        first = Step(count=draw_width(6), demand=demand, estimate_ms=640.0)
        second = Step(count=draw_width(6), demand=demand, estimate_ms=640.0, after=(0,))
        steps = (first, second) if generator.random() < 0.6 else (first,)
    else:
        steps = (
            Step(count=draw_width(8), demand=demand, estimate_ms=2700.0, filler=True),
            Step(
                count=draw_width(8),
                demand=demand,
                estimate_ms=2700.0,
                filler=True,
                after=(0,),
            ),
        )
    return Job(
        job_id=f"{number:016x}",
        queue="checks",
        accepted_ms=0.0,
        spec="x" * 200,
        steps=steps,
    )


def _draw_job(generator: random.Random, number: int) -> tuple[JobCase, list[TaskId]]:
    """Draw a job without placements, and return it with its started tasks."""
    job = _build_job(generator, number)
    is_waiting = generator.random() < _WAITING_JOBS
    is_second = generator.random() < _SECOND_STEP_JOBS and len(job.steps) > 1
    progress = None if is_waiting else Progress()
    step = 0
    if progress is not None and is_second:
        progress.done[0, 0] = set(range(job.steps[0].count))
        step = 1
    case = JobCase(job=job, progress=progress, step=step)
    case.next_due_ms = generator.uniform(0.0, _LAST_INPUT_MS)
    started: list[TaskId] = []
    case.is_ahead = (
        not is_waiting and case.has_next_step and generator.random() < _RUN_AHEAD
    )
    for index in range(job.steps[step].count):
        task = TaskId(job.job_id, 0, step, index)
        if case.is_ahead or (not is_waiting and generator.random() < _STARTED):
            started.append(task)
            is_ended = case.is_ahead or generator.random() < _UNACKNOWLEDGED
            if is_ended and not job.steps[step].long_running:
                case.ended.add(task)
        else:
            case.waiting.append(task)
    if case.is_ahead:
        for index in range(job.steps[step + 1].count):
            task = TaskId(job.job_id, 0, step + 1, index)
            is_begun = generator.random() < _STARTED
            (started if is_begun else case.waiting).append(task)
    return case, started


def build_world(
    size: int,
    seed: int,
    *,
    place: Placement | None = None,
    place_unrecorded: Placement | None = None,
    unrecorded: float = 0.0,
) -> World:
    """Build the state at a takeover.

    Parameters
    ----------
    size : int
        Number of workers.
    seed : int
        Seed; jobs and their states depend on nothing else.
    place : callable, optional
        Chooses the worker of a task; by default any worker.
    place_unrecorded : callable, optional
        Chooses the worker of a task that is started without a record.
    unrecorded : float, optional
        Fraction of the started tasks that are started without a record.
    """
    generator = random.Random(f"jobs {size} {seed}")
    places = random.Random(f"places {size} {seed}")
    count = DOMAINS[size]
    world = World(
        workers=[f"i-{places.getrandbits(40):010x}" for _ in range(size)],
        domains=[number * count // size for number in range(size)],
    )
    runs = 0
    while runs < _RUNS_PER_WORKER * size:
        case, started = _draw_job(generator, len(world.jobs))
        for task in started:
            anywhere = places.randrange(size)
            if places.random() < unrecorded and place_unrecorded is not None:
                case.placed[task] = place_unrecorded(case, places)
                world.unrecorded.add(task)
                continue
            case.placed[task] = place(case, places) if place else anywhere
            world.recorded[task] = case.placed[task]
        for task in case.waiting:
            anywhere = places.randrange(size)
            if places.random() < _NEVER_ORDERED:
                world.recorded[task] = place(case, places) if place else anywhere
        runs += len(case.placed)
        world.jobs.append(case)
    return world


def list_silent(world: World, seed: int, case: str) -> set[int]:
    """Return the numbers of the silent workers: none, one, 1 % or a failure domain."""
    size = len(world.workers)
    generator = random.Random(f"silent {size} {seed}")
    order = generator.sample(range(size), size)
    if case == "domain":
        domain = generator.randrange(max(world.domains) + 1)
        return {n for n in range(size) if world.domains[n] == domain}
    counts = {"none": 0, "one": 1, "1 %": -(-size // 100)}
    return set(order[: counts[case]])
