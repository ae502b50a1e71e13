"""Workers as known to their owner, and the runs on them."""

import collections
import enum
from collections.abc import Callable

import attrs

from trefoilhook.scheduling.messages import OrderOutcome, PollAnswer, StopReason
from trefoilhook.scheduling.models import Demand, TaskId, WorkerReport
from trefoilhook.scheduling.reservations import Reservation
from trefoilhook.scheduling.slack import LaggedShares, SlackTrack
from trefoilhook.scheduling.tickets import StepName, name_step
from trefoilhook.scheduling.waits import WaitReason

__all__ = [
    "SLOWEST_CLOCK",
    "Run",
    "RunPhase",
    "Silence",
    "Worker",
    "get_worker_id",
    "name_incarnation",
]

SLOWEST_CLOCK = 0.98
"""Minimum rate of a worker's monotonic clock; the platform permits a drift of 2 %."""

_EXPIRY_MARGIN_MS = 60.0
"""Time after the expiry of a lease until it counts as proved, in ms: two roundings to
whole ms and the delay of the worker's timer."""


_MAX_UNANSWERED_STARTS = 64
"""Maximum number of released runs kept per worker in case it restarts; exceeds the
number of tasks that fit on a worker."""

_INCARNATION_SEPARATOR = "@"
"""Separates the worker id from the start time of the process; not allowed in ids."""


def name_incarnation(worker_id: str, born_ms: int | None) -> str:
    """Return the name of an incarnation: only the id if the start time is unknown."""
    return (
        worker_id
        if born_ms is None
        else f"{worker_id}{_INCARNATION_SEPARATOR}{born_ms}"
    )


def get_worker_id(incarnation: str) -> str:
    """Return the id of the worker of a named incarnation."""
    return incarnation.partition(_INCARNATION_SEPARATOR)[0]


_PROCESS_ENDED = frozenset(
    {OrderOutcome.CONNECTION_LOST, OrderOutcome.CONNECTION_REFUSED}
)


class RunPhase(enum.Enum):
    """Known state of an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """One attempt at a task on a worker; it holds capacity until it is proved over.

    Parameters
    ----------
    task : TaskId
        The task.
    attempt : int
        Number of the attempt; later attempts have higher numbers.
    room : Demand
        Capacity of the worker that it holds.
    borrowed_cpu : int
        Uncounted processor time that a filler uses, in thousandths of a core.
    phase : RunPhase
        Known state.
    started_ms : float
        Time at which its start order was first sent, in ms.
    is_confirmed : bool
        Whether the worker has confirmed it or reported it as running.
    has_been_listed : bool
        Whether a poll has listed it.
    confirmed_ms : float
        Time of the worker's last answer to an order for it, in ms; a later poll that
        does not list it proves that it is over.
    percent, load : float
        Progress and load from the last poll that listed it.
    track : SlackTrack or None
        For a running service task, its slack over time.
    checkpoint : str
        Checkpoint from the last poll that listed it.
    checkpoint_used : str
        Checkpoint from which its order resumes.
    deadline_ms : float
        Latest time at which its order may be executed, on the worker's clock, in ms.
    progressed_ms : float
        Time at which its progress last increased, in ms.
    pace : int
        Last ordered speed, in percent of full speed.
    initial_pace : int
        Speed that is ordered as soon as its start is confirmed, in percent. Below 100
        the run is throttled: the service tasks on its worker would not tolerate it at
        full speed.
    paced_ms : float
        Time of the last pace order, in ms.
    throttled_since_ms : float
        Time since when it has run below full speed, in ms.
    order_due_ms : float
        Time at which its pending order is sent again, in ms; the first order is due at
        once.
    stop_reason : StopReason
        Reason for stopping it, if it is being stopped.
    seen_ms : float
        Time of the last poll that listed it, in ms; initially the time of its start
        order.
    urgent_priority : int or None
        Priority of its job if it is an urgent task: it ends and is not a filler.
    placed_ms : float
        Time of the round that placed it, in ms.
    is_retry : bool
        Whether this owner knows of an earlier attempt of its task.
    lateness : int
        Rank of its job at that time: whether it could meet its objective.
    waited_ms : float
        Time for which its task waited for a worker, in ms.
    wait_reason : WaitReason or None
        Reason for most of that wait.
    wait_reasons : tuple of (WaitReason, float)
        For a service task, the time for which its step waited for each reason, in ms,
        in descending order.
    ample_ms : float
        For a service task, the time before its placement for which its step had ample
        capacity, in ms.
    was_overdue : bool
        Whether its step was overdue when the task was placed.
    slowing_ms : float
        Time lost through throttling, in ms.
    pace_since_ms : float
        Time since when its current pace has been in force, in ms.
    recorded_version : int or None
        Version of its job that records where it is started, which must be saved before
        the order is sent; None until it is known whether a record is needed.
    is_group_start : bool
        Whether it is started without a place, on a worker of its job's group.
    in_flight : bool
        Whether an order for it is queued or sent and not answered.
    is_sent : bool
        Whether that order has been sent.
    ambiguous : bool
        Whether a start order went unanswered, so that a copy may still be executed.
    """

    task: TaskId
    attempt: int
    room: Demand
    borrowed_cpu: int = 0
    phase: RunPhase
    started_ms: float
    is_confirmed: bool = False
    has_been_listed: bool = False
    confirmed_ms: float = float("inf")
    percent: float = 0.0
    load: float = 0.0
    track: SlackTrack | None = None
    checkpoint: str = ""
    progressed_ms: float = 0.0
    pace: int = 100
    initial_pace: int = 100
    paced_ms: float = 0.0
    throttled_since_ms: float = 0.0
    order_due_ms: float = 0.0
    stop_reason: StopReason = StopReason.NOT_NEEDED
    seen_ms: float = attrs.field()
    urgent_priority: int | None = None
    placed_ms: float = attrs.field()
    is_retry: bool = False
    lateness: int = 0
    waited_ms: float = 0.0
    wait_reason: WaitReason | None = None
    wait_reasons: tuple[tuple[WaitReason, float], ...] = ()
    ample_ms: float = 0.0
    was_overdue: bool = False
    slowing_ms: float = 0.0
    pace_since_ms: float = attrs.field()
    recorded_version: int | None = None
    is_group_start: bool = False
    in_flight: bool = False
    is_sent: bool = False
    ambiguous: bool = False
    checkpoint_used: str = ""
    deadline_ms: float = 0.0

    @seen_ms.default
    def _default_seen_ms(self) -> float:
        return self.started_ms

    @placed_ms.default
    def _default_placed_ms(self) -> float:
        return self.started_ms

    @pace_since_ms.default
    def _default_pace_since_ms(self) -> float:
        return self.started_ms

    def set_pace(self, pace: int, now_ms: float) -> None:
        """Record that a new pace is ordered, in percent."""
        self.slowing_ms = self.measure_throttling_loss(now_ms)
        self.pace_since_ms = now_ms
        self.pace = pace

    def measure_throttling_loss(self, now_ms: float) -> float:
        """Return the time lost through throttling so far, in ms."""
        lost = 1.0 - self.pace / 100.0
        return self.slowing_ms + lost * max(0.0, now_ms - self.pace_since_ms)

    @property
    def may_have_run(self) -> bool:
        """Whether its start may have been executed."""
        is_in_transit = self.in_flight and self.is_sent
        return self.is_confirmed or self.ambiguous or is_in_transit

    @property
    def proved_ms(self) -> float:
        """Time for which it is proved to have run, in ms."""
        return max(0.0, self.seen_ms - self.started_ms)

    @property
    def is_throttled(self) -> bool:
        """Whether it was started below full speed."""
        return self.initial_pace < 100


@attrs.define(kw_only=True)
class Silence:
    """A period without answers from a worker.

    Parameters
    ----------
    began_ms : float
        Time of the first failed call, in ms.
    cause : OrderOutcome
        Outcome of the first failed call.
    was_refused : bool
        Whether a connection has been refused since: the machine responds, but no
        process listens.
    is_recorded : bool
        Whether its runs have been recorded as exposed to a crash.
    """

    began_ms: float
    cause: OrderOutcome
    was_refused: bool = False
    is_recorded: bool = False

    @property
    def indicates_process_exit(self) -> bool:
        """Whether its cause indicates that the worker's process has ended.

        In a network partition nothing is returned, and calls time out.
        """
        return self.cause in _PROCESS_ENDED


@attrs.define(kw_only=True, eq=False)
class Worker:
    """One incarnation of a worker.

    Parameters
    ----------
    report : WorkerReport
        Its latest entry in the store.
    born_ms : int or None
        Start of its process, in ms since the Unix epoch, if the platform reports it.
    listed : bool
        Whether its entry is in the store.
    entry_written_ms : float
        Time before which its last known entry was not written, in ms.
    has_answered_token : bool
        Whether it has answered under the owner's fencing token, so that it executes no
        more orders of previous owners.
    has_reported_all : bool
        Whether it has reported all runs and ends to this owner. A full page of ends may
        omit a completed one.
    is_in_roster : bool
        Whether the roster in the store contains it. Tasks are started only on workers
        in the roster, so that the next owner knows which workers to poll.
    is_lease_limited : bool
        Whether the store may tell the next owner when its leases expire. No lease is
        granted meanwhile.
    runs : dict
        Runs that hold capacity, by task and attempt.
    pending_runs : dict of Run to None
        Runs that are being started or stopped, in order, whose orders may have to be
        repeated. These are few compared with the thousands that are running.
    cpu, memory_mb, gpus : int
        Capacity held by runs.
    borrowed_cpu : int
        Uncounted thousandths of a core requested by its fillers.
    clock_ms, clock_read_ms : float
        Its clock in the last answer, and the local time at that moment, in ms.
    poll_sent_ms : float
        Time at which the last answered poll was sent, in ms.
    lease_until_ms : float
        Latest lease deadline granted to it, on its clock, in ms.
    usable : bool
        Whether its entry is readable, names a known service and describes this
        incarnation; otherwise no task is started.
    ends_taken : set of int
        Numbers of the ends that were applied and are not acknowledged.
    first_unreadable_end : int or None
        Lowest number of an unreadable end; no end from this number on is acknowledged.
    presumed_expired : set of (TaskId, int)
        Attempts released at the expiry of the leases although they may have ended
        before.
    last_expired_end : int
        Highest number of the end of a run that the expiry of its lease ended.
    unproved_ends : set of int
        Numbers of ends of presumed expired attempts that no expiry has followed. They
        are not acknowledged.
    unacknowledged : deque of (int, callable)
        Applied ends by number, with a function that returns whether the effect is
        saved.
    acknowledged : int
        Number up to which the worker may discard ends.
    unanswered_starts : deque of Run
        Its latest released runs whose start order was never answered and might still be
        executed by the next incarnation.
    silence : Silence or None
        Set if an order or a poll has failed since the last answered poll.
    has_awaited_runs : bool
        Whether its leases have expired and tasks wait for it to report how they ended.
    has_lapsed_with_effect : bool
        Whether the expiry of its leases has ended a run since its last answer.
    faulty_jobs : set of str
        Jobs with attempts that failed there since the last successful attempt.
    has_changed : bool
        Whether it has been polled or its entry has changed since the last plan.
    over_limit_since_ms : float or None
        Time since when a service task there has exceeded its latency limit, in ms.
    avoid_until_ms : float
        Time until which it gets no new task, as it refused one, in ms.
    faulty_until_ms : float
        Time until which other workers are preferred to it, as tasks failed or stalled
        there, in ms.
    faulted_ms : float
        Time of the last failure there that counts against it, in ms.
    lagged_shares : LaggedShares
        Use by its fillers, delayed in the same way as the tail latencies.
    overcommitted_since_ms : float or None
        Time since when its runs have held more than its capacity, in ms.
    suspected_runs : int
        Number of runs of tasks suspected of crashing their workers.
    is_reserved : bool
        Whether it is reserved for an isolated run, so that no other task is started
        there.
    reservation : Reservation or None
        Set while it is reserved for a waiting task.
    step_runs : Counter of StepName
        Number of runs by step.
    urgent_cpu : Counter of int
        Thousandths of a core held by urgent tasks, by priority.
    """

    report: WorkerReport
    born_ms: int | None = attrs.field()
    listed: bool = True
    entry_written_ms: float = float("-inf")
    has_answered_token: bool = False
    has_reported_all: bool = False
    is_in_roster: bool = False
    is_lease_limited: bool = False
    runs: dict[tuple[TaskId, int], Run] = attrs.Factory(dict)
    pending_runs: dict[Run, None] = attrs.Factory(dict)
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    borrowed_cpu: int = 0
    clock_ms: float = 0.0
    clock_read_ms: float = float("-inf")
    poll_sent_ms: float = float("-inf")
    lease_until_ms: float = 0.0
    usable: bool = True
    ends_taken: set[int] = attrs.Factory(set)
    first_unreadable_end: int | None = None
    presumed_expired: set[tuple[TaskId, int]] = attrs.Factory(set)
    last_expired_end: int = 0
    unproved_ends: set[int] = attrs.Factory(set)
    unacknowledged: collections.deque[tuple[int, Callable[[], bool]]] = attrs.Factory(
        collections.deque
    )
    acknowledged: int = 0
    unanswered_starts: collections.deque[Run] = attrs.Factory(
        lambda: collections.deque(maxlen=_MAX_UNANSWERED_STARTS)
    )
    silence: Silence | None = None
    has_awaited_runs: bool = False
    has_lapsed_with_effect: bool = False
    faulty_jobs: set[str] = attrs.Factory(set)
    has_changed: bool = True
    over_limit_since_ms: float | None = None
    avoid_until_ms: float = 0.0
    faulty_until_ms: float = 0.0
    faulted_ms: float = float("-inf")
    lagged_shares: LaggedShares = attrs.Factory(LaggedShares)
    overcommitted_since_ms: float | None = None
    suspected_runs: int = 0
    is_reserved: bool = False
    reservation: Reservation | None = None
    step_runs: collections.Counter[StepName] = attrs.field(
        factory=collections.Counter, init=False
    )
    urgent_cpu: collections.Counter[int] = attrs.field(
        factory=collections.Counter, init=False
    )
    _incarnation: str = attrs.field(default="", init=False)
    _named_id: str = attrs.field(default="", init=False)
    _named_born_ms: int | None = attrs.field(default=None, init=False)

    @born_ms.default
    def _default_born_ms(self) -> int | None:
        return self.report.born_ms

    @property
    def incarnation(self) -> str:
        """Name of the incarnation, which changes with each restart."""
        worker_id, born_ms = self.report.worker_id, self.born_ms
        if self._named_born_ms != born_ms or self._named_id != worker_id:
            self._incarnation = name_incarnation(worker_id, born_ms)
            self._named_id, self._named_born_ms = worker_id, born_ms
        return self._incarnation

    @property
    def is_known_alive(self) -> bool:
        """Whether a readable entry of the worker is in the store.

        The entry expires when the worker dies. An unreadable entry may have been
        written by another process and may never expire. Waiting for a dead worker
        because of it would lose the worker's tasks.
        """
        return self.listed and self.usable

    def is_faulty(self, now_ms: float) -> bool:
        """Return whether other workers are preferred to it at present."""
        return self.faulty_until_ms > now_ms

    def estimate_clock(self, now_ms: float) -> float:
        """Estimate the worker's clock, in ms; requires a previous answer."""
        return self.clock_ms + (now_ms - self.clock_read_ms)

    def has_expired_leases(self, now_ms: float) -> bool:
        """Return whether all leases of the worker are proved to have expired."""
        if self.clock_read_ms == float("-inf"):
            return True
        return now_ms > self.find_lease_expiry()

    def find_lease_expiry(self) -> float:
        """Return when all leases granted so far have expired, in ms.

        Requires a previous answer. The time is that of the owner.
        """
        remaining_ms = self.lease_until_ms + _EXPIRY_MARGIN_MS - self.clock_ms
        return self.clock_read_ms + remaining_ms / SLOWEST_CLOCK

    def record_failed_call(self, outcome: OrderOutcome, now_ms: float) -> None:
        """Record that a call was not answered."""
        is_inconclusive = (
            self.silence is not None
            and self.silence.cause is OrderOutcome.CONNECTIONS_BUSY
        )
        if self.silence is None or is_inconclusive:
            # Exhausted local connections do not show why the worker does not answer.
            self.silence = Silence(began_ms=now_ms, cause=outcome)
        if outcome is OrderOutcome.CONNECTION_REFUSED:
            self.silence.was_refused = True

    def is_state_unknown(self, run: Run) -> bool:
        """Return whether the state of a run on this worker is unknown to the owner.

        Either the worker does not answer, or its last answer neither lists the run as
        running nor contains a readable end of the run.
        """
        return self.silence is not None or (
            run.seen_ms < self.poll_sent_ms and run.confirmed_ms < self.poll_sent_ms
        )

    def measure_run_time(self, run: Run, now_ms: float) -> float:
        """Return how long a run lasted until the worker stopped answering, in ms."""
        until_ms = now_ms if self.silence is None else self.silence.began_ms
        return max(0.0, until_ms - run.started_ms)

    def read_clock(self, answer: PollAnswer, now_ms: float) -> None:
        """Update the estimate of the worker's clock."""
        if answer.clock_ms >= self.clock_ms:
            self.clock_ms = answer.clock_ms
            self.clock_read_ms = now_ms

    def is_new_end(self, number: int) -> bool:
        """Return whether an end has not been applied yet.

        The highest number is not sufficient: an end that was unreadable when later ends
        were applied may be readable now.
        """
        return number > self.acknowledged and number not in self.ends_taken

    def record_end(self, number: int, is_saved: Callable[[], bool]) -> None:
        """Record an applied end and how to tell whether its effect is saved."""
        self.ends_taken.add(number)
        self.unacknowledged.append((number, is_saved))
        if len(self.unacknowledged) > 1 and number < self.unacknowledged[-2][0]:
            rows = sorted(self.unacknowledged, key=lambda row: row[0])
            self.unacknowledged = collections.deque(rows)

    def record_expired_end(self, number: int) -> None:
        """Record that the expiry of its lease has ended a run.

        The leases of all runs expire together, so that no earlier end that has not been
        acknowledged counts any more.
        """
        self.last_expired_end = max(self.last_expired_end, number)
        self.unproved_ends = {each for each in self.unproved_ends if each > number}

    def record_end_of_released_run(self, number: int) -> None:
        """Hold back an end of a presumed expired attempt until an expiry is listed.

        Its task has been started again. The end counts once it is acknowledged, unless
        the leases expired with an effect in between.
        """
        if number > self.last_expired_end:
            self.unproved_ends.add(number)

    def has_room(self, demand: Demand) -> bool:
        """Return whether ``demand`` fits into the free capacity."""
        capacity = self.report.capacity
        return (
            self.cpu + demand.cpu <= capacity.cpu
            and self.memory_mb + demand.memory_mb <= capacity.memory_mb
            and self.gpus + demand.gpus <= capacity.gpus
        )

    def hold(self, run: Run) -> None:
        """Add a run and hold its capacity."""
        self.runs[run.task, run.attempt] = run
        self.step_runs[name_step(run.task)] += 1
        if run.phase is not RunPhase.RUNNING:
            self.pending_runs[run] = None
        if run.urgent_priority is not None:
            self.urgent_cpu[run.urgent_priority] += run.room.cpu
        self.cpu += run.room.cpu
        self.memory_mb += run.room.memory_mb
        self.gpus += run.room.gpus
        self.borrowed_cpu += run.borrowed_cpu

    def release(self, run: Run) -> None:
        """Remove a run that is proved over and free its capacity."""
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        if run.ambiguous and self.born_ms is not None:
            self.unanswered_starts.append(run)
        self.pending_runs.pop(run, None)
        step = name_step(run.task)
        self.step_runs[step] -= 1
        if not self.step_runs[step]:
            del self.step_runs[step]
        if run.urgent_priority is not None:
            self.urgent_cpu[run.urgent_priority] -= run.room.cpu
        self.cpu -= run.room.cpu
        self.memory_mb -= run.room.memory_mb
        self.gpus -= run.room.gpus
        self.borrowed_cpu -= run.borrowed_cpu

    def count_step(self, task: TaskId) -> int:
        """Return the number of runs of the step of ``task``."""
        return self.step_runs.get(name_step(task), 0)
