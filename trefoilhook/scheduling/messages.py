"""What passes between the scheduler and the workers."""

import enum

import attrs

from trefoilhook.scheduling.models import TaskId

__all__ = [
    "End",
    "EndKind",
    "Lapse",
    "Look",
    "LossCause",
    "Order",
    "OrderOutcome",
    "PaceOrder",
    "UNANSWERED",
    "UNSENT",
    "Running",
    "StartOrder",
    "StopOrder",
    "StopReason",
    "Suspect",
    "UnreadRow",
    "WorkerLoss",
]


class EndKind(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    PEER_ENDED = "peer ended"
    PEERS_MISSING = "peers missing"


class OrderOutcome(enum.Enum):
    """What is known about an order after it was sent.

    ``NO_ANSWER`` and ``CONNECTION_LOST`` say nothing: the order may have been carried
    out, or may still be. After every other outcome but ``DONE`` this copy of it never
    will be. ``CONNECTION_LOST`` and ``CONNECTION_REFUSED`` tell that the worker's
    machine answers, and its process doesn't; silence tells neither.
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
    OTHER_LIFE = "other life"
    UNHEALTHY = "unhealthy"
    REFUSED = "refused"


# An order that is withdrawn was not sent either, and tells nothing of its worker.
UNSENT = frozenset(
    {
        OrderOutcome.NOT_SENT,
        OrderOutcome.CONNECTION_REFUSED,
        OrderOutcome.CONNECTIONS_BUSY,
    }
)
"""The order never left."""

UNANSWERED = frozenset({OrderOutcome.NO_ANSWER, OrderOutcome.CONNECTION_LOST})
"""The order left, and nobody knows what became of it."""


class StopReason(enum.Enum):
    """Why an attempt is stopped."""

    NOT_WANTED = "not wanted"
    """Its job was cancelled or has ended, or another attempt has done its task."""

    UNCERTAIN = "uncertain"
    """A start of it without an answer must be ruled out."""

    SLOWED = "slowed"
    """It disturbs service tasks where it is, and another worker has a place for it."""

    STANDS_STILL = "stands still"
    """It makes no progress."""

    NO_ROOM = "no room"
    """Its worker has shrunk and holds too much, and another has room for it."""

    WORKER_LEAVES = "worker leaves"
    """Its worker is about to leave."""


@attrs.frozen(kw_only=True)
class Running:
    """An attempt that runs on a worker.

    Parameters
    ----------
    task : TaskId
        The task.
    attempt : int
        Number of the attempt.
    checkpoint : str
        Where another attempt could go on; empty for none.
    percent : float or None
        Progress; for a long-running task 100 once it is at work. None if it can't be
        read.
    load : float or None
        Tail latency in ms of a task with a latency limit, else thousandths of a core.
        None if it can't be read.
    """

    task: TaskId
    attempt: int
    checkpoint: str
    percent: float | None
    load: float | None


@attrs.frozen(kw_only=True)
class End:
    """The end of an attempt; ``number`` rises within one life of the worker."""

    number: int
    task: TaskId
    attempt: int
    kind: EndKind
    checkpoint: str


@attrs.frozen(kw_only=True)
class UnreadRow:
    """A row of a worker's lists that can't be read, with what of it can.

    Parameters
    ----------
    reason : str
        Why, for people.
    is_end : bool
        Whether it tells of an end; else of something that runs.
    number : int or None
        Number of the end, if that much can be read.
    attempt : (TaskId, int) or None
        The task and the attempt that it is about, if that much can be read.
    """

    reason: str
    is_end: bool
    number: int | None = None
    attempt: tuple[TaskId, int] | None = None


@attrs.frozen(kw_only=True)
class Look:
    """What a worker tells of itself; ``clock_ms`` is its own steady clock, in ms."""

    clock_ms: float
    running: tuple[Running, ...]
    ends: tuple[End, ...]
    unread: tuple[UnreadRow, ...] = ()


@attrs.frozen(kw_only=True)
class Lapse:
    """What became of the runs on a silent worker once every lease of it was over.

    Parameters
    ----------
    worker_id : str
        The worker.
    listed : bool
        Whether the store lists it.
    silent_ms : float
        How long it hasn't been heard, in ms.
    given_up : tuple of (TaskId, int)
        Tasks and attempts that count as lapsed now; the tasks wait anew.
    awaited : int
        Runs that may have ended as done: their tasks wait until the worker tells.
    """

    worker_id: str
    listed: bool
    silent_ms: float
    given_up: tuple[tuple[TaskId, int], ...]
    awaited: int


class LossCause(enum.Enum):
    """What ended the life of a worker."""

    CRASHED = "crashed"
    """Its process ended under its tasks, unannounced."""

    DRAINED = "drained"
    """It had announced that it would leave."""

    LEASES_OVER = "leases over"
    """Nothing ran there any more when it was lost."""

    CUT_OFF = "cut off"
    """It was silent as behind a cut; when its life ended, and what ran, is unknown."""

    LIST_STALE = "list stale"
    """What the store lists wasn't read closely enough to rule out a planned stop."""

    STILL_LISTED = "still listed"
    """Its entry stood for longer than that of a dead worker: it lived on meanwhile."""


@attrs.frozen(kw_only=True)
class Suspect:
    """A task that a lost worker may be due to.

    Parameters
    ----------
    task : TaskId
        The task; a member of it for a gang.
    attempt : int
        Its attempt there.
    ran_ms : float
        Time from its start to the loss, in ms.
    ratio : float
        Factor by which the loss changed the odds against it.
    chance : float
        Probability, after the loss, that it crashes its workers.
    crashes : int
        Proved crashes that count against it.
    given_up : bool
        Whether its job is given up for them.
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
    """The end of a worker's life, and what it tells of the tasks that ran there.

    Parameters
    ----------
    worker_id : str
        The worker.
    cause : LossCause
        What ended it.
    runs : int
        Runs that it had.
    suspects : tuple of Suspect
        Their tasks, the likeliest first; none if the loss is no crash.
    """

    worker_id: str
    cause: LossCause
    runs: int
    suspects: tuple[Suspect, ...] = ()


@attrs.frozen(kw_only=True)
class StartOrder:
    """Start an attempt, unless the worker's clock is past ``deadline_ms``."""

    worker_id: str
    task: TaskId
    attempt: int
    spec: str
    deadline_ms: float
    token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen(kw_only=True)
class StopOrder:
    """Stop an attempt; the reason is for people."""

    worker_id: str
    task: TaskId
    attempt: int
    token: int
    reason: StopReason = StopReason.NOT_WANTED


@attrs.frozen(kw_only=True)
class PaceOrder:
    """Let an attempt work at ``percent`` of its speed."""

    worker_id: str
    task: TaskId
    attempt: int
    percent: int
    token: int


Order = StartOrder | StopOrder | PaceOrder
