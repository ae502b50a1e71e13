"""In-process worker on virtual time, without sockets."""

from collections.abc import Callable, Sequence
from typing import TypeVar

import attrs

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    AnswerLostError,
    FencedError,
    LeaseLostError,
    NotSentError,
    TrefoilhookError,
)
from trefoilhook.standins.core import RefusalError
from trefoilhook.standins.worker_state import WorkerSettings, WorkerState
from trefoilhook.workers import (
    CommandResult,
    LeaseRequest,
    WorkerCommand,
    WorkerHeartbeat,
    WorkerInventory,
)

__all__ = ["VirtualWorker", "VirtualWorkerClient"]

_T = TypeVar("_T")
_CALL_MS = 2.0
_TIMEOUT_MS = 500.0


@attrs.define(kw_only=True)
class VirtualWorker:
    """Worker that can be made unreachable.

    Parameters
    ----------
    clock : Clock
        Clock of the test.
    settings : WorkerSettings
        Configuration of the worker.
    is_cut : bool
        Whether the worker is unreachable.
    cut_owners : set of str
        Instances that cannot reach the worker.
    responses_to_drop : int
        Number of subsequent calls that take effect but lose their response.
    """

    clock: Clock
    settings: WorkerSettings
    is_cut: bool = False
    cut_owners: set[str] = attrs.field(factory=set)
    responses_to_drop: int = 0
    state: WorkerState = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.state = WorkerState(
            settings=self.settings, monotonic_ms=self.clock.monotonic_ms
        )


@attrs.define(kw_only=True)
class VirtualWorkerClient:
    """An owner's client for a worker; replaces ``WorkerClient``.

    Parameters
    ----------
    worker : VirtualWorker
        Worker to call.
    owner_id : str
        Calling instance.
    """

    worker: VirtualWorker
    owner_id: str

    async def acquire_lease(
        self, owner_id: str, epoch: int, ttl_ms: float
    ) -> WorkerInventory:
        """Take the lease of the worker."""
        request = LeaseRequest(
            worker_id=self.worker.settings.worker_id,
            owner_id=owner_id,
            epoch=epoch,
            ttl_ms=ttl_ms,
        )
        return await self._call(lambda: self.worker.state.acquire_lease(request))

    async def renew(self, epoch: int, ttl_ms: float) -> WorkerHeartbeat:
        """Renew the lease."""
        return await self._call(lambda: self.worker.state.renew(epoch, ttl_ms))

    async def command(
        self, epoch: int, commands: Sequence[WorkerCommand]
    ) -> tuple[CommandResult, ...]:
        """Execute commands on the worker."""
        return await self._call(lambda: self.worker.state.command(epoch, commands))

    async def close(self) -> None:
        """Do nothing, as there are no connections."""

    async def _call(self, change: Callable[[], _T]) -> _T:
        await self.worker.clock.sleep_ms(_CALL_MS)
        if self.worker.is_cut or self.owner_id in self.worker.cut_owners:
            await self.worker.clock.sleep_ms(_TIMEOUT_MS)
            raise NotSentError("no connection to the worker")
        try:
            result = change()
        except RefusalError as refusal:
            raise _translate(refusal) from refusal
        if self.worker.responses_to_drop:
            self.worker.responses_to_drop -= 1
            raise AnswerLostError("no complete response from the worker")
        return result


def _translate(refusal: RefusalError) -> TrefoilhookError:
    if refusal.error == "fenced":
        return FencedError("the worker has seen a higher epoch")
    if refusal.error == "lease_lost":
        return LeaseLostError("the lease of the worker has expired")
    return AnswerLostError(refusal.error)
