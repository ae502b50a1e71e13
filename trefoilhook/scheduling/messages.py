"""Messages exchanged between the scheduler and the workers."""

import enum

import attrs

from trefoilhook.scheduling.models import TaskId

__all__ = [
    "UNANSWERED",
    "UNSENT",
    "AttemptEnd",
    "EndKind",
    "LeaseExpiry",
    "PollAnswer",
    "LossCause",
    "Order",
    "OrderOutcome",
    "PaceOrder",
    "Running",
    "StartOrder",
    "StopOrder",
    "StopReason",
    "Suspect",
    "UnreadableRow",
    "WorkerLoss",
]


class EndKind(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    PEER_ENDED = "peer ended"
    PEERS_MISSING = "peers missing"


class OrderOutcome(enum.Enum):
    """What is known about an order after it was sent.

    ``NO_ANSWER`` and ``CONNECTION_LOST`` are inconclusive: the order may have been
    executed, or may still be. After every other outcome except ``DONE`` this copy of it
    is never executed. ``CONNECTION_LOST`` and ``CONNECTION_REFUSED`` indicate that the
    worker's machine responds but its process does not; a time-out indicates neither.
    """

    DONE = "done"
    NOT_SENT = "not sent"
    WITHDRAWN = "withdrawn"
    NO_ANSWER = "no answer"
    CONNECTION_LOST = "connection lost"
    CONNECTION_REFUSED = "connection refused"
    CONNECTIONS_BUSY = "connections busy"
    FENCED = "fenced"
    SUPERSEDED = "superseded"
    TOO_LATE = "too late"
    NO_ROOM = "no room"
    NO_TICKET = "no ticket"
    OTHER_INCARNATION = "other life"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


# A withdrawn order was not sent either, but provides no evidence about its worker.
UNSENT = frozenset(
    {
        OrderOutcome.NOT_SENT,
        OrderOutcome.CONNECTION_REFUSED,
        OrderOutcome.CONNECTIONS_BUSY,
    }
)
"""Outcomes of orders that were never sent because of the connection."""

UNANSWERED = frozenset({OrderOutcome.NO_ANSWER, OrderOutcome.CONNECTION_LOST})
"""Outcomes of orders that were sent and may or may not have been executed."""


class StopReason(enum.Enum):
    """Reason for stopping an attempt."""

    NOT_NEEDED = "not wanted"
    """Its job was cancelled or has ended, or another attempt has completed its task."""

    COPY_NOT_NEEDED = "copy not needed"
    """Another run of the same speculative task has completed."""

    UNCERTAIN = "uncertain"
    """An unanswered start order must be ruled out."""

    THROTTLED = "slowed"
    """It disturbs service tasks on its worker, and another worker is suitable."""

    STALLED = "stands still"
    """It makes no progress."""

    NO_ROOM = "no room"
    """Its worker's capacity has shrunk, and another worker has capacity for it."""

    WORKER_DRAINING = "worker leaves"
    """Its worker is about to shut down."""


@attrs.frozen(kw_only=True)
class Running:
    """A running attempt as reported by its worker.

    Parameters
    ----------
    task : TaskId
        The task.
    attempt : int
        Number of the attempt.
    checkpoint : str
        Checkpoint from which another attempt could resume; empty for none.
    percent : float or None
        Progress; 100 for a long-running task that serves requests. None if unreadable.
    load : float or None
        Tail latency in ms for a task with a latency limit, otherwise use in thousandths
        of a core. None if unreadable.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: float | None
    load: float | None


@attrs.frozen(kw_only=True)
class AttemptEnd:
    """End of an attempt; ``number`` increases within one worker incarnation."""

    number: int
    task: TaskId
    attempt: int
    kind: EndKind
    checkpoint: str


@attrs.frozen(kw_only=True)
class UnreadableRow:
    """An unreadable row of a worker's lists, with its readable parts.

    Parameters
    ----------
    reason : str
        Human-readable reason.
    is_end : bool
        Whether it reports an end; otherwise it reports a running attempt.
    number : int or None
        Number of the end, if readable.
    attempt : (TaskId, int) or None
        Task and attempt that it reports, if readable.
    """

    reason: str
    is_end: bool
    number: int | None = None
    attempt: tuple[TaskId, int] | None = None


@attrs.frozen(kw_only=True)
class PollAnswer:
    """Answer of a worker to a poll.

    Parameters
    ----------
    clock_ms : float
        The worker's monotonic clock, in ms.
    running : tuple of Running
        Running attempts.
    ends : tuple of AttemptEnd
        Ends that have not been acknowledged.
    unreadable : tuple of UnreadableRow
        Unreadable rows of both lists.
    born_ms : int or None
        Start time of the worker's process, in ms since the Unix epoch; None if the
        answer does not contain it.
    """

    clock_ms: float
    running: tuple[Running, ...]
    ends: tuple[AttemptEnd, ...]
    unreadable: tuple[UnreadableRow, ...] = ()
    born_ms: int | None = None


@attrs.frozen(kw_only=True)
class LeaseExpiry:
    """Outcome for the runs on a silent worker whose leases have all expired.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    listed : bool
        Whether its entry is in the store.
    silent_ms : float
        Time since its last answer, in ms.
    given_up : tuple of (TaskId, int)
        Tasks and attempts that now count as expired; the tasks wait again.
    awaited : int
        Number of runs that may have been completed; their tasks wait for the worker's
        report.
    """

    worker_id: str
    listed: bool
    silent_ms: float
    given_up: tuple[tuple[TaskId, int], ...]
    awaited: int


class LossCause(enum.Enum):
    """Cause of the end of a worker incarnation."""

    CRASHED = "crashed"
    """Its process ended unannounced while tasks were running."""

    DRAINED = "drained"
    """It had announced its shutdown."""

    LEASES_EXPIRED = "leases over"
    """All its leases had expired when it was lost, so that nothing was running."""

    PARTITIONED = "cut off"
    """It was silent as in a network partition; the time of its end and its runs at that
    time are unknown."""

    VANISHED = "vanished"
    """It was silent to the owner until all its leases had expired, and to the store:
    its machine may have crashed."""

    LIST_STALE = "list stale"
    """The store was not read often enough to rule out an announced shutdown."""

    STILL_LISTED = "still listed"
    """Its entry outlived that of a dead worker, so that it was alive for a while."""


@attrs.frozen(kw_only=True)
class Suspect:
    """A task that may have caused the loss of a worker.

    Parameters
    ----------
    task : TaskId
        Id of the task, or of one member of a gang.
    attempt : int
        Number of its attempt on the worker.
    ran_ms : float
        Time from its start to the loss, in ms.
    ratio : float
        Factor by which the loss changed the odds that it crashes its workers.
    chance : float
        Probability, after the loss, that it crashes its workers.
    crashes : int
        Number of proved crashes attributed to it.
    given_up : bool
        Whether its job failed because of them.
    """

    task: TaskId
    attempt: int
    ran_ms: float
    ratio: float
    chance: float
    crashes: int
    given_up: bool


@attrs.frozen(kw_only=True)
class WorkerLoss:
    """End of a worker incarnation and the evidence against the tasks that ran on it.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    cause : LossCause
        Cause of the end.
    runs : int
        Number of runs on it.
    suspects : tuple of Suspect
        Their tasks, the most likely cause first; empty if the loss was not a crash.
    """

    worker_id: str
    cause: LossCause
    runs: int
    suspects: tuple[Suspect, ...] = ()


@attrs.frozen(kw_only=True)
class StartOrder:
    """Order to start an attempt unless the worker's clock is past ``deadline_ms``.

    ``is_filler`` is not sent: it decides how soon the order is.
    """

    worker_id: str
    task: TaskId
    attempt: int
    spec: str
    deadline_ms: float
    token: int
    checkpoint: str = ""
    ticket: str = ""
    is_filler: bool = False


@attrs.frozen(kw_only=True)
class StopOrder:
    """Order to stop an attempt; the reason is informational."""

    worker_id: str
    task: TaskId
    attempt: int
    token: int
    reason: StopReason = StopReason.NOT_NEEDED


@attrs.frozen(kw_only=True)
class PaceOrder:
    """Order to run an attempt at ``percent`` of its full speed."""

    worker_id: str
    task: TaskId
    attempt: int
    percent: int
    token: int


Order = StartOrder | StopOrder | PaceOrder
