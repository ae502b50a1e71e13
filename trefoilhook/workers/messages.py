"""Request and response bodies of the worker protocol."""

import attrs

from trefoilhook.workers.core import CommandResult, WorkerCommand

__all__ = ["CommandsAnswer", "CommandsRequest", "LeaseRequest", "RenewRequest"]


@attrs.frozen(kw_only=True)
class LeaseRequest:
    """Request to acquire the lease on a worker.

    Parameters
    ----------
    worker_id : str
        Id of the addressed worker; a different worker at its address refuses.
    owner_id : str
        Id of the acquiring instance.
    epoch : int
        Epoch of the lease.
    ttl_ms : float
        Time to live without renewal, in ms.
    """

    worker_id: str
    owner_id: str
    epoch: int
    ttl_ms: float


@attrs.frozen(kw_only=True)
class RenewRequest:
    """Request to renew a lease; fields as in `LeaseRequest`."""

    worker_id: str
    epoch: int
    ttl_ms: float


@attrs.frozen(kw_only=True)
class CommandsRequest:
    """Request to execute commands in order; fields as in `LeaseRequest`."""

    worker_id: str
    epoch: int
    commands: tuple[WorkerCommand, ...]


@attrs.frozen(kw_only=True)
class CommandsAnswer:
    """Response with one result per command, in the same order."""

    results: tuple[CommandResult, ...]
