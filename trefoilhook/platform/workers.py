"""Orders to a worker of the platform."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs

from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    TransportError,
    TransportFailure,
)
from trefoilhook.http import HttpResponse, JsonClient
from trefoilhook.platform.core import read_object
from trefoilhook.platform.looks import decode_look
from trefoilhook.scheduling import (
    Look,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerReport,
)

__all__ = ["LookRequest", "WorkerClient"]

_MAX_CONNECTIONS = 6
"""Connections to one worker: a waiting look, and a few orders at the same time."""

_REFUSALS = {
    "fence": OrderOutcome.FENCED,
    "old": OrderOutcome.SUPERSEDED,
    "late": OrderOutcome.TOO_LATE,
    "room": OrderOutcome.NO_ROOM,
    "ticket": OrderOutcome.NO_TICKET,
}


@attrs.frozen(kw_only=True)
class LookRequest:
    """Asks a worker for what runs there and what has ended.

    Parameters
    ----------
    token : int
        Fencing token.
    acknowledged : int
        The worker may forget ends up to this number.
    deadline_ms : float or None
        Until when what runs there may run on, on the worker's clock, in ms.
    wait_ms : int
        How long the worker may wait for an end before it answers, in ms.
    """

    token: int
    acknowledged: int
    deadline_ms: float | None
    wait_ms: int


class WorkerClient:
    """Calls to one life of a worker.

    Parameters
    ----------
    report : WorkerReport
        Whom to call.
    read_timeout : callable
        Returns the longest time for one call, in ms; a look may wait on top of it.
    """

    def __init__(
        self, *, report: WorkerReport, read_timeout: Callable[[], float]
    ) -> None:
        self._client = JsonClient(
            address=(report.host, report.port), max_connections=_MAX_CONNECTIONS
        )
        self._headers = (("expect-instance", report.worker_id),)
        self._read_timeout = read_timeout

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Start a task; the same order again has no further effect."""
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
        """Stop an attempt, or refuse it if it is still under way."""
        body = {
            "task": str(order.task),
            "attempt": order.attempt,
            "fencing_token": order.token,
        }
        return await self._order("run-stop", body)

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Let an attempt work at a share of its speed."""
        body = {
            "task": str(order.task),
            "attempt": order.attempt,
            "percent": order.percent,
            "fencing_token": order.token,
        }
        return await self._order("pace", body)

    async def look(self, request: LookRequest) -> Look | OrderOutcome:
        """Read what runs and what has ended, and renew the lease on it.

        Raises
        ------
        DecodeError
            If the worker answered with something else. The call was carried out.
        """
        body: dict[str, Any] = {
            "fencing_token": request.token,
            "acked": request.acknowledged,
            "wait_ms": request.wait_ms,
        }
        if request.deadline_ms is not None:
            body["deadline_ms"] = int(request.deadline_ms)
        try:
            response = await self._client.exchange(
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
        return decode_look(response.body)

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()

    async def _order(self, name: str, body: Mapping[str, Any]) -> OrderOutcome:
        try:
            response = await self._client.exchange(
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
        return OrderOutcome.OTHER_LIFE
    if response.status in (429, 503):
        return OrderOutcome.UNHEALTHY
    if response.status >= 500:
        return OrderOutcome.NO_ANSWER
    if response.status != 409:
        return OrderOutcome.REFUSED
    try:
        reason = read_object(response).get("reason", "")
    except AnswerLostError:
        return OrderOutcome.NO_ANSWER
    if not isinstance(reason, str):
        return OrderOutcome.REFUSED
    return _REFUSALS.get(reason, OrderOutcome.REFUSED)
