"""Adapter to one worker.

The only module that knows how workers are spoken to: HTTP/1.1 with JSON bodies,
described in ``docs/INTERFACES.md``.
"""

from collections.abc import Sequence
from typing import NoReturn, TypeVar

from trefoilhook.clock import Clock
from trefoilhook.exceptions import (
    AnswerLostError,
    FencedError,
    LeaseLostError,
    NotSentError,
    RequestError,
)
from trefoilhook.exchange import PlatformClient, decode_answer, read_error_name
from trefoilhook.http import HttpResponse
from trefoilhook.workers.core import (
    CommandResult,
    WorkerCommand,
    WorkerHeartbeat,
    WorkerInventory,
)
from trefoilhook.workers.messages import (
    CommandsAnswer,
    CommandsRequest,
    LeaseRequest,
    RenewRequest,
)

__all__ = ["WorkerClient"]

_T = TypeVar("_T")
_SERVER_FAULT = 500


class WorkerClient:
    """Calls to one worker; each may be made at the same time as others.

    Parameters
    ----------
    worker_id : str
        The worker.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    clock : Clock
        Where time comes from.
    timeout_ms : float
        Longest time for one call, in ms.

    Notes
    -----
    Every method raises ``FencedError`` when the worker has seen a higher epoch (or
    this one from another owner), ``LeaseLostError`` when the lease has lapsed,
    ``NotSentError`` when nothing reached the worker, and ``AnswerLostError`` when it
    can't be told whether the call took effect. Each call may be repeated.
    """

    def __init__(
        self, *, worker_id: str, host: str, port: int, clock: Clock, timeout_ms: float
    ) -> None:
        self.worker_id = worker_id
        self._clock = clock
        self._platform = PlatformClient(
            host=host, port=port, timeout_ms=timeout_ms, max_connections=4
        )

    async def take_lease(
        self, owner_id: str, epoch: int, ttl_ms: float
    ) -> WorkerInventory:
        """Become the worker's owner; its tasks go on running.

        Parameters
        ----------
        owner_id : str
            The own instance id.
        epoch : int
            Epoch of the own shard; higher than any that the worker has seen. The same
            owner may repeat its call at the same epoch until the lease lapses.
        ttl_ms : float
            Time without a renewal after which the lease lapses, in ms. The worker then
            stops all that it runs.
        """
        request = LeaseRequest(
            worker_id=self.worker_id, owner_id=owner_id, epoch=epoch, ttl_ms=ttl_ms
        )
        return await self._call("/v1/lease", request, WorkerInventory)

    async def renew(self, epoch: int, ttl_ms: float) -> WorkerHeartbeat:
        """Start the lease's time anew, and hear what ended and what was measured."""
        request = RenewRequest(worker_id=self.worker_id, epoch=epoch, ttl_ms=ttl_ms)
        return await self._call("/v1/renew", request, WorkerHeartbeat)

    async def command(
        self, epoch: int, commands: Sequence[WorkerCommand]
    ) -> tuple[CommandResult, ...]:
        """Have commands carried out in their order.

        Parameters
        ----------
        epoch : int
            Epoch at which the lease was taken.
        commands : sequence of WorkerCommand
            What to do.

        Returns
        -------
        tuple of CommandResult
            One for each command, in the same order.
        """
        request = CommandsRequest(
            worker_id=self.worker_id, epoch=epoch, commands=tuple(commands)
        )
        answer = await self._call("/v1/commands", request, CommandsAnswer)
        if len(answer.results) != len(request.commands):
            raise AnswerLostError("the worker left out results")
        return answer.results

    async def close(self) -> None:
        """Close the idle connections."""
        await self._platform.close()

    async def _call(self, path: str, body: object, kind: type[_T]) -> _T:
        response = await self._platform.exchange("POST", path, body=body)
        if response.status != 200:
            self._raise_refusal(response)
        return decode_answer(response, kind)

    def _raise_refusal(self, response: HttpResponse) -> NoReturn:
        name = read_error_name(response)
        if name == "fenced":
            raise FencedError(f"{self.worker_id} has seen a higher epoch")
        if name == "lease_lost":
            raise LeaseLostError(f"the lease of {self.worker_id} has lapsed")
        if name == "wrong_worker":
            raise NotSentError(f"not {self.worker_id} answers at its address")
        if response.status >= _SERVER_FAULT:
            raise AnswerLostError(f"{self.worker_id} answered {response.status}")
        raise RequestError(f"{self.worker_id} refused: {response.status} {name}")
