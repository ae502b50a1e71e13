"""The workers as their owner sees them: what runs where, and how sure that is."""

import collections
import enum
from collections.abc import Callable

import attrs

from trefoilhook.scheduling.messages import Look, OrderOutcome, StopReason
from trefoilhook.scheduling.models import Demand, TaskId, WorkerReport
from trefoilhook.scheduling.slack import LaggedShares, SlackTrack
from trefoilhook.scheduling.waits import WaitReason

__all__ = ["SLOWEST_CLOCK", "Run", "RunPhase", "Silence", "Worker"]

SLOWEST_CLOCK = 0.98
"""A worker's steady clock may be 2 % slow, by the platform's statement."""

_LAPSE_SLACK_MS = 60.0
"""Added to a lapsed lease before it counts as proved: the rounding of whole ms twice,
and the turn that a worker's timer may be late by."""


_PROCESS_ENDED = frozenset(
    {OrderOutcome.CONNECTION_LOST, OrderOutcome.CONNECTION_REFUSED}
)


class RunPhase(enum.Enum):
    """What is known of an attempt."""

    STARTING = "starting"
    RUNNING = "running"
    STOPPING = "stopping"


@attrs.define(kw_only=True, eq=False)
class Run:
    """One attempt at a task on one worker; it holds its room until it is proved over.

    Parameters
    ----------
    task : TaskId
        The task.
    attempt : int
        Number of the attempt; a later attempt has a higher one.
    room : Demand
        What it takes of the worker.
    borrowed_cpu : int
        Thousandths of a core that it uses of what others leave: a filler's.
    phase : RunPhase
        What is known of it.
    started_ms : float
        When its order was first sent, in ms.
    seen : bool
        Whether the worker has confirmed it, or listed it as running.
    confirmed_ms : float
        When the worker last answered an order for it, in ms; a later look that doesn't
        list it proves that it is over.
    percent, load : float
        From the last look that listed it.
    track : SlackTrack or None
        Of a service task at work: its slack over time.
    checkpoint : str
        From the last look that listed it.
    checkpoint_used : str
        Where its order lets it go on.
    deadline_ms : float
        Until when its order may be carried out, on the worker's clock, in ms.
    progressed_ms : float
        When its progress last rose, in ms.
    pace : int
        Share of its speed that it was last ordered to work at, in percent.
    first_pace : int
        Share of its speed that it is ordered to work at as soon as its start is
        confirmed, in percent. Under 100 it is throttled: where it runs it isn't borne
        at full speed.
    paced_ms : float
        When a pace was last ordered, in ms.
    slowed_ms : float
        Since when it has been below full speed, in ms.
    order_due_ms : float
        When its pending order is to be sent again, in ms; the first order goes at once.
    stop_reason : StopReason
        Why it is stopped, if it is.
    seen_ms : float
        When a look last listed it, in ms; until then when its order was first sent.
    waited_ms : float
        How long its task waited for the place, in ms.
    wait_reason : WaitReason or None
        What it waited for longest.
    slowing_ms : float
        Time that it has lost by its pace, in ms.
    pace_since_ms : float
        Since when it has had its pace, in ms.
    recorded_version : int or None
        Version of its job with the place where it is ordered, which has to be in the
        store before the order goes; None until it is known whether that is needed.
    in_flight : bool
        Whether an order for it is under way, or waits for its turn to be sent.
    has_left : bool
        Whether that order has been sent.
    ambiguous : bool
        Whether a start went without an answer: a copy may still be carried out.
    """

    task: TaskId
    attempt: int
    room: Demand
    borrowed_cpu: int = 0
    phase: RunPhase
    started_ms: float
    seen: bool = False
    confirmed_ms: float = float("inf")
    percent: float = 0.0
    load: float = 0.0
    track: SlackTrack | None = None
    checkpoint: str = ""
    progressed_ms: float = 0.0
    pace: int = 100
    first_pace: int = 100
    paced_ms: float = 0.0
    slowed_ms: float = 0.0
    order_due_ms: float = 0.0
    stop_reason: StopReason = StopReason.NOT_WANTED
    seen_ms: float = attrs.field()
    waited_ms: float = 0.0
    wait_reason: WaitReason | None = None
    slowing_ms: float = 0.0
    pace_since_ms: float = attrs.field()
    recorded_version: int | None = None
    in_flight: bool = False
    has_left: bool = False
    ambiguous: bool = False
    checkpoint_used: str = ""
    deadline_ms: float = 0.0

    @seen_ms.default
    def _begin_unseen(self) -> float:
        return self.started_ms

    @pace_since_ms.default
    def _begin_pace(self) -> float:
        return self.started_ms

    def set_pace(self, pace: int, now_ms: float) -> None:
        """Note that another pace is ordered, in percent."""
        self.slowing_ms = self.measure_slowing(now_ms)
        self.pace_since_ms = now_ms
        self.pace = pace

    def measure_slowing(self, now_ms: float) -> float:
        """Return the time that it has lost by its pace so far, in ms."""
        lost = 1.0 - self.pace / 100.0
        return self.slowing_ms + lost * max(0.0, now_ms - self.pace_since_ms)

    @property
    def may_have_run(self) -> bool:
        """Whether its start may have been carried out."""
        is_under_way = self.in_flight and self.has_left
        return self.seen or self.ambiguous or is_under_way

    @property
    def proved_ms(self) -> float:
        """How long it is known to have run, in ms."""
        return max(0.0, self.seen_ms - self.started_ms)

    @property
    def is_throttled(self) -> bool:
        """Whether it was started slowed, where it isn't borne at full speed."""
        return self.first_pace < 100


@attrs.define(kw_only=True)
class Silence:
    """A time without answers from a worker.

    Parameters
    ----------
    began_ms : float
        When the first call failed, in ms.
    cause : OrderOutcome
        How it failed.
    was_refused : bool
        Whether a connection has been refused since: the machine answers, and nothing
        listens there.
    is_noted : bool
        Whether what ran there is noted to be exposed to a crash.
    """

    began_ms: float
    cause: OrderOutcome
    was_refused: bool = False
    is_noted: bool = False

    @property
    def tells_of_end(self) -> bool:
        """Whether it began as it does when the worker's process ends.

        On a way that is cut off nothing comes back, and calls time out.
        """
        return self.cause in _PROCESS_ENDED


@attrs.define(kw_only=True, eq=False)
class Worker:
    """One life of a worker.

    Parameters
    ----------
    report : WorkerReport
        What it last said of itself.
    listed : bool
        Whether the store still lists it.
    fenced : bool
        Whether it has answered under the owner's fencing token, so that no order of an
        earlier owner can be carried out there any more.
    is_known : bool
        Whether it has listed all that runs and has ended there to this owner. A page of
        ends that is full may leave out one that was done.
    rostered : bool
        Whether the store's roster names it; only then may a task be started there, so
        that the next owner knows where to look.
    runs : dict
        What holds room there, by task and attempt.
    ordered : dict of Run to None
        Those of them that are being started or stopped, in order: they have orders
        that may have to be repeated. Thousands run for each one of these.
    cpu, memory_mb, gpus : int
        Room held.
    borrowed_cpu : int
        Thousandths of a core that its fillers ask for, beside the room held.
    clock_ms, clock_read_ms : float
        Its clock in its last answer, and our time then, in ms.
    lease_until_ms : float
        Latest deadline that it was given, on its clock, in ms.
    usable : bool
        Whether what it last said of itself could be read and names a known service;
        else nothing new is started there.
    ends_taken : set of int
        Numbers of the ends that were taken in and aren't acknowledged.
    unread_from : int or None
        Least number of an end that can't be read; none from there is acknowledged.
    unacknowledged : deque of (int, callable)
        Ends taken in, by number, with a test whether their effect is in the store.
    acknowledged : int
        The worker may forget ends up to this number.
    silence : Silence or None
        What is known of it if an order or a look went without an answer since the last
        look.
    is_awaited : bool
        Whether its leases are over and tasks wait for it to tell how they ended.
    faulty_jobs : set of str
        Jobs of which attempts failed there since one was last done there.
    is_news : bool
        Whether it has been looked at, or has reported, since the last plan.
    over_since_ms : float or None
        Since when a service task there has been over its latency limit, in ms.
    avoid_until_ms : float
        No new task goes there before, in ms.
    lagged : LaggedShares
        What its fillers use, as it shows in tail latencies.
    shrunk_since_ms : float or None
        Since when it has held more than it has, in ms.
    suspected_runs : int
        Runs there of tasks that are suspected to crash their workers.
    is_reserved : bool
        Whether a task runs there apart from others, so that no other is started.
    """

    report: WorkerReport
    listed: bool = True
    fenced: bool = False
    is_known: bool = False
    rostered: bool = False
    runs: dict[tuple[TaskId, int], Run] = attrs.Factory(dict)
    ordered: dict[Run, None] = attrs.Factory(dict)
    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    borrowed_cpu: int = 0
    clock_ms: float = 0.0
    clock_read_ms: float = float("-inf")
    lease_until_ms: float = 0.0
    usable: bool = True
    ends_taken: set[int] = attrs.Factory(set)
    unread_from: int | None = None
    unacknowledged: collections.deque[tuple[int, Callable[[], bool]]] = attrs.Factory(
        collections.deque
    )
    acknowledged: int = 0
    silence: Silence | None = None
    is_awaited: bool = False
    faulty_jobs: set[str] = attrs.Factory(set)
    is_news: bool = True
    over_since_ms: float | None = None
    avoid_until_ms: float = 0.0
    lagged: LaggedShares = attrs.Factory(LaggedShares)
    shrunk_since_ms: float | None = None
    suspected_runs: int = 0
    is_reserved: bool = False

    @property
    def is_known_alive(self) -> bool:
        """Whether an entry of its own stands in the store, which goes when it dies.

        One that can't be read may be another writer's, and stand there for good: to
        wait for a dead worker because of it would lose the worker's tasks.
        """
        return self.listed and self.usable

    def estimate_clock(self, now_ms: float) -> float:
        """Estimate the worker's clock, in ms; needs one answer of it."""
        return self.clock_ms + (now_ms - self.clock_read_ms)

    def is_lapsed(self, now_ms: float) -> bool:
        """Tell whether every lease that it was given is proved to have run out."""
        if self.clock_read_ms == float("-inf"):
            return True
        least = self.clock_ms + SLOWEST_CLOCK * (now_ms - self.clock_read_ms)
        return least > self.lease_until_ms + _LAPSE_SLACK_MS

    def note_silence(self, outcome: OrderOutcome, now_ms: float) -> None:
        """Note that a call went without an answer."""
        is_vague = (
            self.silence is not None
            and self.silence.cause is OrderOutcome.CONNECTIONS_BUSY
        )
        if self.silence is None or is_vague:
            # Busy connections of our own tell nothing of how the worker fell silent.
            self.silence = Silence(began_ms=now_ms, cause=outcome)
        if outcome is OrderOutcome.CONNECTION_REFUSED:
            self.silence.was_refused = True

    def measure_time(self, run: Run, now_ms: float) -> float:
        """Return how long a run was here until the worker fell silent, in ms."""
        until_ms = now_ms if self.silence is None else self.silence.began_ms
        return max(0.0, until_ms - run.started_ms)

    def read_clock(self, look: Look, now_ms: float) -> None:
        """Note the time on the worker's clock."""
        if look.clock_ms >= self.clock_ms:
            self.clock_ms = look.clock_ms
            self.clock_read_ms = now_ms

    def is_new_end(self, number: int) -> bool:
        """Tell whether an end has not been taken in yet.

        Not by the highest number alone: an end that could not be read when later ones
        were taken in may be readable by now.
        """
        return number > self.acknowledged and number not in self.ends_taken

    def take_end(self, number: int, is_saved: Callable[[], bool]) -> None:
        """Note an end, and how to tell whether its effect is in the store."""
        self.ends_taken.add(number)
        self.unacknowledged.append((number, is_saved))
        if len(self.unacknowledged) > 1 and number < self.unacknowledged[-2][0]:
            rows = sorted(self.unacknowledged, key=lambda row: row[0])
            self.unacknowledged = collections.deque(rows)

    def has_room(self, demand: Demand) -> bool:
        """Tell whether ``demand`` fits beside what holds room."""
        capacity = self.report.capacity
        return (
            self.cpu + demand.cpu <= capacity.cpu
            and self.memory_mb + demand.memory_mb <= capacity.memory_mb
            and self.gpus + demand.gpus <= capacity.gpus
        )

    def hold(self, run: Run) -> None:
        """Take a run in and hold its room."""
        self.runs[run.task, run.attempt] = run
        if run.phase is not RunPhase.RUNNING:
            self.ordered[run] = None
        self.cpu += run.room.cpu
        self.memory_mb += run.room.memory_mb
        self.gpus += run.room.gpus
        self.borrowed_cpu += run.borrowed_cpu

    def release(self, run: Run) -> None:
        """Let go of a run that is proved over, and of its room."""
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        self.ordered.pop(run, None)
        self.cpu -= run.room.cpu
        self.memory_mb -= run.room.memory_mb
        self.gpus -= run.room.gpus
        self.borrowed_cpu -= run.borrowed_cpu

    def count_step(self, task: TaskId) -> int:
        """Count the runs of the step of ``task``."""
        return sum(
            other.job_id == task.job_id
            and other.step == task.step
            and other.occurrence == task.occurrence
            for other, _ in self.runs
        )
