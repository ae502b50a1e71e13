"""Bodies of the calls to a worker."""

import attrs

from trefoilhook.workers.core import CommandResult, WorkerCommand

__all__ = ["CommandsAnswer", "CommandsRequest", "LeaseRequest", "RenewRequest"]


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Take the worker's lease.

    Parameters
    ----------
    worker_id : str
        The worker meant; another one at this address refuses.
    owner_id : str
        Instance that takes it.
    epoch : int
        Epoch of the owner's shard.
    ttl_ms : float
        Time without a renewal after which it lapses, in ms.
    """

    worker_id: str
    owner_id: str
    epoch: int
    ttl_ms: float


@attrs.frozen(kw_only=True)
class RenewRequest:
    """Start the lease's time anew; fields as in `LeaseRequest`."""

    worker_id: str
    epoch: int
    ttl_ms: float


@attrs.frozen(kw_only=True)
class CommandsRequest:
    """Carry out commands in their order; fields as in `LeaseRequest`."""

    worker_id: str
    epoch: int
    commands: tuple[WorkerCommand, ...]


@attrs.frozen(kw_only=True)
class CommandsAnswer:
    """One result for each command, in the same order."""

    results: tuple[CommandResult, ...]
