"""Client of the platform's workers."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    TransportError,
    TransportFailure,
)
from trefoilhook.http import Connection, HttpResponse, IdleLimit, JsonClient
from trefoilhook.platform.core import parse_response_object
from trefoilhook.platform.worker_answers import decode_poll_answer
from trefoilhook.scheduling import (
    OrderOutcome,
    PaceOrder,
    PollAnswer,
    StartOrder,
    StopOrder,
    WorkerReport,
)

__all__ = ["PollRequest", "WorkerClient"]

_MAX_CONNECTIONS = 6
"""Maximum connections to one worker: one poll and a few concurrent orders."""

_MAX_CACHED_HEADS = 16
"""Maximum number of cached request heads of one worker. They differ by path and length
of the body: one or two of polls, a few of each kind of order."""

_REFUSALS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}


@attrs.frozen(kw_only=True)
class PollRequest:
    """Requests the running and ended tasks of a worker.

    Parameters
    ----------
    token : int
        Fencing token.
    acknowledged : int
        Number up to which ends are acknowledged, so that the worker may drop them.
    deadline_ms : float or None
        Time on the worker's clock until which its tasks may run, in ms. None leaves
        their leases unchanged.
    wait_ms : int
        Maximum time for which the worker waits for a task to end, in ms.
    """

    token: int
    acknowledged: int
    deadline_ms: float | None
    wait_ms: int


class WorkerClient:
    """Client of one worker process.

    Parameters
    ----------
    report : WorkerReport
        Address and id of the worker.
    read_timeout : callable
        Returns the timeout of a call in ms, to which the wait of a poll is added.
    idle_limit : IdleLimit, optional
        Limit on the idle connections to all workers.
    """

    def __init__(
        self,
        *,
        report: WorkerReport,
        read_timeout: Callable[[], float],
        idle_limit: IdleLimit[Connection] | None = None,
    ) -> None:
        self._client = JsonClient(
            address=(report.host, report.port),
            max_connections=_MAX_CONNECTIONS,
            idle_limit=idle_limit,
            max_cached_heads=_MAX_CACHED_HEADS,
        )
        self._headers = (("expect-instance", report.worker_id),)
        self._read_timeout = read_timeout

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Start a task; repeated calls with the same order have no further effect."""
        body: dict[str, Any] = {
            "task": str(order.task),
            "attempt": order.attempt,
            "spec": order.spec,
            "deadline_ms": int(order.deadline_ms),
            "fencing_token": order.token,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order("run-start", body)

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Stop an attempt, or prevent its start if that is still in flight."""
        body = {
            "task": str(order.task),
            "attempt": order.attempt,
            "fencing_token": order.token,
        }
        return await self._order("run-stop", body)

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Limit an attempt to a percentage of its full speed."""
        body = {
            "task": str(order.task),
            "attempt": order.attempt,
            "percent": order.percent,
            "fencing_token": order.token,
        }
        return await self._order("pace", body)

    async def poll(self, request: PollRequest) -> PollAnswer | OrderOutcome:
        """Read the running and ended tasks, and renew their leases.

        Raises
        ------
        DecodeError
            If the answer is invalid. The call has taken effect.
        """
        body: dict[str, Any] = {
            "fencing_token": request.token,
            "acked": request.acknowledged,
            "wait_ms": request.wait_ms,
        }
        if request.deadline_ms is not None:
            body["deadline_ms"] = int(request.deadline_ms)
        try:
            response = await self._client.send_request(
                "POST",
                "/trefoilhook/hold",
                timeout_ms=self._read_timeout() + request.wait_ms,
                body=body,
                headers=self._headers,
            )
        except (NotSentError, AnswerLostError) as error:
            return _read_failure(error)
        if response.status != 200:
            return _read_refusal(response)
        return decode_poll_answer(response.body)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _order(self, name: str, body: Mapping[str, Any]) -> OrderOutcome:
        try:
            response = await self._client.send_request(
                "POST",
                f"/trefoilhook/{name}",
                timeout_ms=self._read_timeout(),
                body=body,
                headers=self._headers,
            )
        except (NotSentError, AnswerLostError) as error:
            return _read_failure(error)
        if response.status == 200:
            return OrderOutcome.DONE
        return _read_refusal(response)


def _read_failure(error: TransportError) -> OrderOutcome:
    if isinstance(error, NotSentError):
        if error.failure is TransportFailure.REFUSED:
            return OrderOutcome.CONNECTION_REFUSED
        if error.failure is TransportFailure.BUSY:
            return OrderOutcome.CONNECTIONS_BUSY
        return OrderOutcome.NOT_SENT
    if error.failure is TransportFailure.CLOSED:
        return OrderOutcome.CONNECTION_LOST
    return OrderOutcome.NO_ANSWER


def _read_refusal(response: HttpResponse) -> OrderOutcome:
    if response.status == 421:
        return OrderOutcome.OTHER_INCARNATION
    if response.status in (429, 503):
        return OrderOutcome.UNHEALTHY
    if response.status >= 500:
        return OrderOutcome.NO_ANSWER
    if response.status != 409:
        return OrderOutcome.REFUSED
    try:
        reason = parse_response_object(response).get("reason", "")
    except AnswerLostError:
        return OrderOutcome.NO_ANSWER
    if not isinstance(reason, str):
        return OrderOutcome.REFUSED
    return _REFUSALS.get(reason, OrderOutcome.REFUSED)
