"""What can be decided about a task, as a closed set of types."""

import enum

import attrs

__all__ = [
    "Decision",
    "Impossible",
    "ImpossibleReason",
    "Placement",
    "Preempt",
    "Wait",
    "WaitReason",
]


class WaitReason(enum.Enum):
    """Why a task waits."""

    NO_WORKER = "no worker is open to new tasks"
    NO_ROOM = "no worker looked at has room"
    INTERFERENCE = "each worker with room has a service that it would slow too much"
    NOT_WORTH = "its slowdown of services outweighs its work on each worker with room"
    VICTIMS_STOPPING = "room is being made for it"


class ImpossibleReason(enum.Enum):
    """Why a task can never run as declared."""

    TOO_MANY_CORES = "declares more cores than any worker has"
    TOO_MUCH_MEMORY = "declares more memory than any worker has"
    TOO_MANY_ACCELERATORS = "declares more accelerators than any worker has"
    NO_SUCH_WORKER = "no one worker has all that it declares"
    FAILS_EVERYWHERE = "failed on several sound workers"


@attrs.frozen(kw_only=True, slots=True)
class Placement:
    """Start the task on this worker.

    Parameters
    ----------
    worker_id : str
        Worker to reserve and start on.
    cost : float
        Objective of the choice.
    predicted_excess : float
        Largest predicted part of a service's bearable excess, 1.0 being all of it.
    considered : int
        Workers with room that were compared.
    """

    worker_id: str
    cost: float
    predicted_excess: float
    considered: int


@attrs.frozen(kw_only=True, slots=True)
class Wait:
    """Leave the task in the queue.

    Parameters
    ----------
    reason : WaitReason
        Why it waits.
    considered : int
        Workers with room that were compared.
    """

    reason: WaitReason
    considered: int


@attrs.frozen(kw_only=True, slots=True)
class Impossible:
    """Refuse the task.

    Parameters
    ----------
    reason : ImpossibleReason
        What would have to change.
    declared : str
        What the task declares, for people.
    limit : str
        What the largest worker has, or where the task failed, for people.
    """

    reason: ImpossibleReason
    declared: str
    limit: str


@attrs.frozen(kw_only=True, slots=True)
class Preempt:
    """Make room for an urgent task by stopping others at a checkpoint.

    Parameters
    ----------
    worker_id : str
        Worker that makes room.
    victims : tuple of str
        Batch tasks to checkpoint and stop.
    lost_ms : float
        Work that the victims are expected to do again, in ms of run time.
    """

    worker_id: str
    victims: tuple[str, ...]
    lost_ms: float


Decision = Placement | Wait | Impossible | Preempt
