"""Declarations of clients and operators: jobs, steps, queues and workers."""

import functools
import re

import attrs

from trefoilhook.exceptions import DecodeError

__all__ = [
    "Advice",
    "Configuration",
    "Demand",
    "Job",
    "Queue",
    "Step",
    "TaskId",
    "WorkerReport",
    "parse_task_id",
]

_MAX_TASKS = 250_000
"""Maximum number of tasks of one occurrence of a job. It is the number of batch tasks
of a whole deployment of the size aimed at; each takes about 1 kB of the owner."""

_MAX_HELD_TASKS = 2_500_000
"""Maximum number of tasks of one occurrence of a job that is already recorded. They
would take 2 GB, four times the memory of a large instance, so that no owner runs it."""

_MAX_ALL_TASKS = 1_000_000
"""Maximum number of tasks of all occurrences of a job, all of which may be due at once
under an owner that takes over later."""


@attrs.frozen(kw_only=True)
class Demand:
    """Resources requested by a task or provided by a worker.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Memory, in MB.
    gpus : int
        Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def covers(self, other: "Demand") -> bool:
        """Return whether no resource of ``other`` exceeds this one."""
        return (
            other.cpu <= self.cpu
            and other.memory_mb <= self.memory_mb
            and other.gpus <= self.gpus
        )


@attrs.frozen(kw_only=True)
class Step:
    """Identical tasks of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Demand
        Resources of each task.
    estimate_ms : float
        Estimated duration of one task, in ms.
    after : tuple of int
        Indices of the steps that must be completed first.
    checkpointing : bool
        Whether a stopped task can resume from a checkpoint.
    gang : bool
        Whether the tasks can only run all at the same time.
    same_rack : bool
        Whether the tasks are slower if spread over several racks.
    required_label : str
        Label that a worker must have; empty for any worker.
    data_rack : str
        Rack that holds the input data; tasks are slower elsewhere. Empty for none.
    max_per_worker : int
        Maximum number of tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether a task may have several copies running at the same time.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Name of the image; tasks of one image behave alike.
    latency_limit_ms : float
        Limit on the tail latency of the task's responses, in ms; 0 for none.
    filler : bool
        Whether the tasks are best-effort: they use processor time that others leave,
        which is not counted against the capacity.
    max_absent : int or None
        Maximum number of tasks that the system may keep from running at a time; None
        for no limit.
    """

    count: int
    demand: Demand
    estimate_ms: float = 0.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    latency_limit_ms: float = 0.0
    filler: bool = False
    max_absent: int | None = None

    room: Demand = attrs.field(init=False, repr=False, eq=False)
    """Resources that a task of the step takes of a worker's counted capacity."""

    @room.default
    def _count_room(self) -> Demand:
        if self.filler:
            return attrs.evolve(self.demand, cpu=0)
        return self.demand

    def estimate_task_work(self) -> float:
        """Estimate the work of one task, in core-milliseconds."""
        return self.estimate_ms * self.demand.cpu / 1000.0

    @property
    def borrowed_cpu(self) -> int:
        """Thousandths of a core that a filler uses of the uncounted processor time."""
        return self.demand.cpu if self.filler else 0


@attrs.frozen(kw_only=True)
class Job:
    """A job as submitted by a client.

    Parameters
    ----------
    job_id : str
        Chosen by the client; a job submitted again under the same id is the same job.
    queue : str
        Name of the queue.
    accepted_ms : float
        Time of acceptance, in ms since the Unix epoch.
    spec : str
        Opaque specification that is passed to the workers.
    steps : tuple of Step
        Steps of the job.
    repeats : int
        Number of scheduled occurrences; 0 to run once, immediately.
    first_due_ms, interval_ms : float
        Due time of the first occurrence, in ms since the Unix epoch, and the interval
        between occurrences, in ms.
    """

    job_id: str
    queue: str
    accepted_ms: float
    spec: str
    steps: tuple[Step, ...]
    repeats: int = 0
    first_due_ms: float = 0.0
    interval_ms: float = 0.0

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.repeats)

    @property
    def tasks(self) -> int:
        """Number of tasks of one occurrence."""
        return sum(step.count for step in self.steps)

    @property
    def is_too_large(self) -> bool:
        """Whether it has too many tasks to be accepted."""
        tasks = self.tasks
        return tasks > _MAX_TASKS or tasks * self.occurrences > _MAX_ALL_TASKS

    @property
    def exceeds_memory(self) -> bool:
        """Whether no owner can hold the tasks of one occurrence."""
        return self.tasks > _MAX_HELD_TASKS

    def estimate_work(self) -> float:
        """Estimate the work of one occurrence, in core-milliseconds."""
        return sum(step.count * step.estimate_task_work() for step in self.steps)

    def estimate_chain(self) -> float:
        """Estimate the duration of the critical path of the steps, in ms."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0.0)


@attrs.frozen(kw_only=True)
class Advice:
    """Timing of the advice service, which decides which workers may run a step.

    Parameters
    ----------
    decision_ms : float
        Base time of an answer, in ms.
    per_worker_ms : float
        Additional time for each worker in a request, in ms.
    valid_ms : float
        Validity of a ticket, in ms.
    """

    decision_ms: float
    per_worker_ms: float
    valid_ms: float


@attrs.frozen(kw_only=True)
class Queue:
    """A queue of the configuration.

    Parameters
    ----------
    name : str
        Name of the queue.
    host, prefix : str
        Host and path prefix of the requests that belong to the queue.
    service : str
        Service whose workers run the tasks.
    priority : int
        Priority; 0 is the highest.
    max_attempts : int
        Number of failed attempts of a task after which its job fails.
    stretch : float
        Latency objective as a multiple of the job's critical path.
    objective_ms : float
        Constant added to the latency objective, in ms.
    advice : Advice or None
        Timing of the advice service; None if any worker may run the steps.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    stretch: float
    objective_ms: float
    advice: Advice | None = None

    def compute_objective(self, job: Job) -> float | None:
        """Return the latency objective of a job, in ms.

        None for a scheduled job, whose occurrences have due times of their own, and for
        a job with long-running tasks.
        """
        if job.repeats or any(step.long_running for step in job.steps):
            return None
        return self.stretch * job.estimate_chain() + self.objective_ms


@attrs.frozen(kw_only=True)
class Configuration:
    """The operator's configuration.

    Parameters
    ----------
    version : int
        Version number, increased by every change.
    queues : tuple of Queue
        All queues.
    services : frozenset of str
        Names of the services that workers may belong to.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str] = frozenset()

    _by_location: dict[tuple[str, str], Queue] = attrs.field(
        init=False, repr=False, eq=False
    )
    _prefix_lengths: tuple[int, ...] = attrs.field(init=False, repr=False, eq=False)

    @_by_location.default
    def _index_queues(self) -> dict[tuple[str, str], Queue]:
        # Of several queues at one location, the first is used.
        return {(q.host, q.prefix): q for q in reversed(self.queues)}

    @_prefix_lengths.default
    def _list_prefix_lengths(self) -> tuple[int, ...]:
        return tuple(sorted({len(q.prefix) for q in self.queues}, reverse=True))

    @property
    def locations(self) -> frozenset[tuple[str, str]]:
        """Host and path prefix of each queue."""
        return frozenset(self._by_location)

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at ``host``."""
        for length in self._prefix_lengths:
            queue = self._by_location.get((host, path[:length]))
            if queue is not None:
                return queue
        return None


@attrs.frozen(kw_only=True)
class WorkerReport:
    """Entry that a worker writes to the store.

    Parameters
    ----------
    worker_id : str
        Identifies the worker. On platforms without ``born_ms``, a restarted worker has
        another id.
    service : str
        The service whose tasks it runs.
    host, port : str, int
        Address at which it accepts orders.
    failure_domain : str
        Failure domain of the worker.
    capacity : Demand
        Resources of the worker.
    labels : tuple of str
        Its kind and its rack.
    draining : bool
        Whether it is about to shut down.
    remaining_ms : float
        Minimum time until it shuts down, in ms, while it drains.
    born_ms : int or None
        Start time of its process, in ms since the Unix epoch. Together with the id it
        identifies one incarnation. None if the entry does not contain it.
    """

    worker_id: str
    service: str
    host: str
    port: int
    failure_domain: str
    capacity: Demand
    labels: tuple[str, ...] = ()
    draining: bool = False
    remaining_ms: float = 0.0
    born_ms: int | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return f"{self.host}:{self.port}"


@attrs.frozen(cache_hash=True)
class TaskId:
    """Identifies one task by job, occurrence, step, and index in the step.

    Most tables of an owner are keyed by it, so that it keeps its hash.
    """

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


_TASK_ID = re.compile(r"([^.]+)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")

_MAX_CACHED_IDS = 16_384
"""Maximum number of cached task ids: the running tasks of an owner of 300 workers with
50 tasks each, which each poll lists again."""

_MAX_CACHED_ID_LENGTH = 128
"""Maximum length of the text of a cached task id, in characters. It bounds the cache to
about 10 MB; the ids of this project have at most 64."""


def parse_task_id(text: str) -> TaskId:
    """Parse a task id; equal texts may give the same object.

    Raises
    ------
    DecodeError
        If the text is not a task id.
    """
    if len(text) > _MAX_CACHED_ID_LENGTH:
        return _parse_task_id(text)
    return _parse_cached_task_id(text)


def _parse_task_id(text: str) -> TaskId:
    match = _TASK_ID.fullmatch(text)
    if match is None:
        raise DecodeError("invalid task id")
    return TaskId(match[1], int(match[2]), int(match[3]), int(match[4]))


_parse_cached_task_id = functools.lru_cache(maxsize=_MAX_CACHED_IDS)(_parse_task_id)
