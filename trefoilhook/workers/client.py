"""Client for one worker.

Implements the worker protocol, HTTP/1.1 with JSON bodies, which is described in
``docs/INTERFACES.md``. It is the only module that depends on the protocol.
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
from trefoilhook.exchange import PlatformClient, decode_response, parse_error_name
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
_FIRST_SERVER_ERROR = 500


class WorkerClient:
    """Client for one worker; calls may be made concurrently.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    host : str
        IP address.
    port : int
        TCP port.
    clock : Clock
        Clock.
    timeout_ms : float
        Timeout of one call, in ms.

    Notes
    -----
    Every method raises ``FencedError`` if the worker has seen a higher epoch (or the
    same epoch from another owner), ``LeaseLostError`` if the lease has expired,
    ``NotSentError`` if the request did not reach the worker, and ``AnswerLostError`` if
    it is unknown whether the call took effect. All calls are idempotent.
    """

    def __init__(
        self, *, worker_id: str, host: str, port: int, clock: Clock, timeout_ms: float
    ) -> None:
        self.worker_id = worker_id
        self._clock = clock
        self._platform = PlatformClient(
            host=host, port=port, timeout_ms=timeout_ms, max_connections=4
        )

    async def acquire_lease(
        self, owner_id: str, epoch: int, ttl_ms: float
    ) -> WorkerInventory:
        """Acquire the lease on the worker; its tasks keep running.

        Parameters
        ----------
        owner_id : str
            Id of the calling instance.
        epoch : int
            Epoch of the lease, higher than any that the worker has seen. The same owner
            may repeat the call at the same epoch until the lease expires.
        ttl_ms : float
            Time to live of the lease without renewal, in ms. When the lease expires,
            the worker stops all its tasks.
        """
        request = LeaseRequest(
            worker_id=self.worker_id, owner_id=owner_id, epoch=epoch, ttl_ms=ttl_ms
        )
        return await self._call("/v1/lease", request, WorkerInventory)

    async def renew(self, epoch: int, ttl_ms: float) -> WorkerHeartbeat:
        """Renew the lease; return ended tasks and the latest usage report."""
        request = RenewRequest(worker_id=self.worker_id, epoch=epoch, ttl_ms=ttl_ms)
        return await self._call("/v1/renew", request, WorkerHeartbeat)

    async def command(
        self, epoch: int, commands: Sequence[WorkerCommand]
    ) -> tuple[CommandResult, ...]:
        """Execute commands in order.

        Parameters
        ----------
        epoch : int
            Epoch at which the lease was acquired.
        commands : sequence of WorkerCommand
            Commands to execute.

        Returns
        -------
        tuple of CommandResult
            One result per command, in the same order.
        """
        request = CommandsRequest(
            worker_id=self.worker_id, epoch=epoch, commands=tuple(commands)
        )
        answer = await self._call("/v1/commands", request, CommandsAnswer)
        if len(answer.results) != len(request.commands):
            raise AnswerLostError("the worker did not return one result per command")
        return answer.results

    async def close(self) -> None:
        """Close all idle connections."""
        await self._platform.close()

    async def _call(self, path: str, body: object, kind: type[_T]) -> _T:
        response = await self._platform.send_request("POST", path, body=body)
        if response.status != 200:
            self._raise_for_error(response)
        return decode_response(response, kind)

    def _raise_for_error(self, response: HttpResponse) -> NoReturn:
        name = parse_error_name(response)
        if name == "fenced":
            raise FencedError(f"{self.worker_id} has seen a higher epoch")
        if name == "lease_lost":
            raise LeaseLostError(f"the lease of {self.worker_id} has expired")
        if name == "wrong_worker":
            raise NotSentError(
                f"another worker answers at the address of {self.worker_id}"
            )
        if response.status >= _FIRST_SERVER_ERROR:
            raise AnswerLostError(f"{self.worker_id} returned status {response.status}")
        raise RequestError(
            f"{self.worker_id} refused the call: {response.status} {name}"
        )
