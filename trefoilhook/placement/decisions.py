"""Placement decisions, as a closed set of types."""

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
    """Reason why a task stays in the queue."""

    NO_WORKER = "no worker is open to new tasks"
    INSUFFICIENT_CAPACITY = "no worker looked at has room"
    INTERFERENCE = "each worker with room has a service that it would slow too much"
    NO_NET_BENEFIT = (
        "its slowdown of services outweighs its work on each worker with room"
    )
    VICTIMS_STOPPING = "room is being made for it"


class ImpossibleReason(enum.Enum):
    """Reason why a task can never run as declared."""

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
        Objective value of the worker; lower is better.
    predicted_excess : float
        Largest predicted ratio of excess to tolerated excess among the services.
    considered : int
        Number of workers compared.
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
        Number of workers compared.
    """

    reason: WaitReason
    considered: int


@attrs.frozen(kw_only=True, slots=True)
class Impossible:
    """Refuse the task.

    Parameters
    ----------
    reason : ImpossibleReason
        Requirement that cannot be met.
    declared : str
        Declared resources, formatted for display.
    limit : str
        Largest worker's resources, or the workers the task failed on, formatted for
        display.
    """

    reason: ImpossibleReason
    declared: str
    limit: str


@attrs.frozen(kw_only=True, slots=True)
class Preempt:
    """Free resources for an urgent task by stopping batch tasks at a checkpoint.

    Parameters
    ----------
    worker_id : str
        Worker on which resources are freed.
    victims : tuple of str
        Batch tasks to checkpoint and stop.
    lost_ms : float
        Run time that the victims are expected to repeat, in ms.
    """

    worker_id: str
    victims: tuple[str, ...]
    expected_loss_ms: float


Decision = Placement | Wait | Impossible | Preempt
