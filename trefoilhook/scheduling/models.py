"""What clients and operators declare: jobs of steps, queues, workers."""

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


@attrs.frozen(kw_only=True)
class Demand:
    """What a task takes of a worker, or what a worker has.

    Parameters
    ----------
    cpu : int
        Thousandths of a core.
    memory_mb : int
        Memory, in MB.
    gpus : int
        Accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0


@attrs.frozen(kw_only=True)
class Step:
    """Alike tasks of a job.

    Parameters
    ----------
    count : int
        Number of tasks.
    demand : Demand
        What each task takes.
    estimate_ms : float
        Rough time of one task, in ms.
    after : tuple of int
        Steps of which all tasks must be done first.
    checkpointing : bool
        Whether a stopped task can go on where it was.
    gang : bool
        Whether the tasks work only all together.
    same_rack : bool
        Whether the tasks are slowed when they are spread over racks.
    required_label : str
        Label that a worker must have; empty for any.
    data_rack : str
        Rack where the data lies; elsewhere the tasks are slowed. Empty for none.
    max_per_worker : int
        Most tasks of the step on one worker; 0 for no limit.
    speculative : bool
        Whether copies may run at the same time.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    image : str
        Tasks of one image behave alike.
    latency_limit_ms : float
        Limit on the tail latency that the tasks give their users; 0 for none.
    filler : bool
        Whether the tasks run on processor time that others leave, uncounted.
    max_absent : int or None
        Most tasks that the system may keep from work at a time; None for no limit.
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
    """What a task of the step takes of a worker's counted capacity."""

    @room.default
    def _count_room(self) -> Demand:
        if self.filler:
            return attrs.evolve(self.demand, cpu=0)
        return self.demand

    @property
    def borrowed_cpu(self) -> int:
        """Thousandths of a core that a task uses of what others leave."""
        return self.demand.cpu if self.filler else 0


@attrs.frozen(kw_only=True)
class Job:
    """A job as a client submitted it.

    Parameters
    ----------
    job_id : str
        Chosen by the client; the same id is the same job.
    queue : str
        Name of the queue.
    accepted_ms : float
        When it was accepted, in ms since the Unix epoch.
    spec : str
        Passed on to the workers.
    steps : tuple of Step
        What is to be done.
    repeats : int
        How many times the steps run at set times; 0 for once, at once.
    first_due_ms, interval_ms : float
        When the first of them is due, in ms since the Unix epoch, and the pause
        between two.
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
        """How many times the steps run."""
        return max(1, self.repeats)

    def estimate_work(self) -> float:
        """Estimate the work of one run of the steps, in core-milliseconds."""
        return sum(
            step.count * step.estimate_ms * step.demand.cpu / 1000.0
            for step in self.steps
        )

    def estimate_chain(self) -> float:
        """Estimate the time of the longest chain of steps, in ms."""
        ends: list[float] = []
        for step in self.steps:
            begin = max((ends[i] for i in step.after), default=0.0)
            ends.append(begin + step.estimate_ms)
        return max(ends, default=0.0)


@attrs.frozen(kw_only=True)
class Advice:
    """How the service answers that tells which workers a step may run on.

    Parameters
    ----------
    decision_ms : float
        Time of any answer, in ms.
    per_worker_ms : float
        Further time for each worker asked about, in ms.
    valid_ms : float
        How long a ticket can be used, in ms.
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
        Its name.
    host, prefix : str
        Which requests belong to it.
    service : str
        The workers that run its tasks.
    priority : int
        0 comes first.
    max_attempts : int
        After so many failed attempts of a task its job has failed.
    stretch : float
        Latency objective, in times of the job's longest chain of work.
    objective_ms : float
        Added to that, in ms.
    advice : Advice or None
        Set when only some workers may run a step.
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
        """Return the time that a job should take, in ms.

        None for a job with set times, of which each has its own, and for one whose
        tasks run until it is cancelled.
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
        Rises with every change.
    queues : tuple of Queue
        Every queue.
    services : frozenset of str
        Names of the services that workers may belong to.
    """

    version: int
    queues: tuple[Queue, ...]
    services: frozenset[str] = frozenset()

    def find_queue(self, name: str) -> Queue | None:
        """Return the queue called ``name``."""
        for queue in self.queues:
            if queue.name == name:
                return queue
        return None

    def route(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at ``host``."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best is None or len(queue.prefix) > len(best.prefix):
                best = queue
        return best


@attrs.frozen(kw_only=True)
class WorkerReport:
    """What a worker says of itself.

    Parameters
    ----------
    worker_id : str
        One life of the worker; a restart has another.
    service : str
        The service whose tasks it runs.
    host, port : str, int
        Where it takes orders.
    failure_domain : str
        Where it stands.
    capacity : Demand
        What it has.
    labels : tuple of str
        Its kind and its rack.
    draining : bool
        Whether it is about to leave.
    remaining_ms : float
        Least time until it leaves, in ms, while it drains.
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


@attrs.frozen
class TaskId:
    """Names one task: job, occurrence, step, and index in the step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


_TASK_ID = re.compile(r"([^.]+)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")


def parse_task_id(text: str) -> TaskId:
    """Read a task's name.

    Raises
    ------
    DecodeError
        If it is none.
    """
    match = _TASK_ID.fullmatch(text)
    if match is None:
        raise DecodeError("not a task's name")
    return TaskId(match[1], int(match[2]), int(match[3]), int(match[4]))
