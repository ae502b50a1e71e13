"""One executor, over plain HTTP.

``POST /run`` runs a request and answers with its whole result. ``GET /health`` answers
``{"slots": 8, "in_use": n}``. No other module knows these paths.
"""

import math
import socket
import struct
from collections.abc import Callable

import attrs
import h11

from trefoilhook.exceptions import AnswerLostError, NotSentError
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.http.client import _Connection

__all__ = ["ExecutorAnswer", "ExecutorClient", "ExecutorHealth"]

_REQUEST_ID_HEADER = "x-request-id"
_DEFAULT_CONTENT_TYPE = "application/octet-stream"
_HEALTH_CONNECTIONS = 2
_DISCARD_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class ExecutorAnswer:
    """The whole answer of an executor.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Type of the body.
    body : bytes
        The whole body.
    """

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class ExecutorHealth:
    """What an executor says about itself.

    Parameters
    ----------
    slots : int
        Requests that it may run at once.
    in_use : int
        Requests that it runs now, whoever sent them.
    """

    slots: int
    in_use: int


@attrs.frozen(kw_only=True)
class _GuardedRequest(HttpRequest):
    may_send: Callable[[], bool]


class _GuardedHttpClient(HttpClient):
    """A client that asks for leave in the same step in which the bytes leave."""

    def _encode(self, connection: _Connection, request: HttpRequest) -> bytes:
        # Guards against a sender that is frozen, or waits for a connection, after its
        # right to act was checked: the request would leave long after another owner
        # has taken over. Between this line and the socket's send no other task runs,
        # so in the whole process at most one request can be past its check and unsent.
        if isinstance(request, _GuardedRequest) and not request.may_send():
            raise NotSentError("the right to send ended before the request left")
        return super()._encode(connection, request)

    async def _release(self, connection: _Connection, *, keep: bool) -> None:
        # Guards against bytes that stay in the kernel after a failure and reach the
        # executor minutes later, when their slot has long been given to another
        # request. A reset on close throws them away.
        failed = connection.protocol.our_state is not h11.IDLE and not keep
        if failed:
            connection.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD_ON_CLOSE
            )
        await super()._release(connection, keep=keep)


def _allow() -> bool:
    return True


class ExecutorClient:
    """Connections to one executor.

    Parameters
    ----------
    executor_id : str
        The executor.
    host : str
        Its address, an IP number.
    port : int
        Its port.
    max_connections : int, optional
        Most connections that the executor takes; two of them are kept for health.
    """

    def __init__(
        self, *, executor_id: str, host: str, port: int, max_connections: int = 64
    ) -> None:
        self.executor_id = executor_id
        self._runs = _GuardedHttpClient(
            host=host,
            port=port,
            max_connections=max_connections - _HEALTH_CONNECTIONS,
        )
        self._probes = HttpClient(
            host=host, port=port, max_connections=_HEALTH_CONNECTIONS
        )

    async def run(
        self,
        body: bytes,
        *,
        content_type: str,
        timeout_ms: float,
        request_id: str,
        may_send: Callable[[], bool] = _allow,
    ) -> ExecutorAnswer:
        """Run one request and return its whole answer.

        Parameters
        ----------
        body : bytes
            Body of the request.
        content_type : str
            Type of the body; empty for plain bytes.
        timeout_ms : float
            Longest time for the whole exchange, in ms.
        request_id : str
            Identifies the request in the executor's records.
        may_send : callable, optional
            Asked in the step in which the first byte would leave; on False nothing is
            sent.

        Raises
        ------
        NotSentError
            If no byte can have left.
        AnswerLostError
            If a byte may have left and no whole answer came.
        """
        request = _GuardedRequest(
            method="POST",
            target="/run",
            headers=(
                ("content-type", content_type or _DEFAULT_CONTENT_TYPE),
                (_REQUEST_ID_HEADER, request_id),
            ),
            body=body,
            may_send=may_send,
        )
        response = await self._runs.send(request, timeout_ms=timeout_ms)
        return ExecutorAnswer(
            status=response.status,
            content_type=response.get_header("content-type") or "",
            body=response.body,
        )

    async def check_health(self, *, timeout_ms: float = math.inf) -> ExecutorHealth:
        """Ask how many requests the executor runs.

        Raises
        ------
        NotSentError, AnswerLostError
            If it could not be asked, or gave no usable answer.
        """
        request = HttpRequest(method="GET", target="/health")
        response = await self._probes.send(request, timeout_ms=timeout_ms)
        try:
            value = response.parse_json()
            return ExecutorHealth(
                slots=int(value["slots"]), in_use=int(value["in_use"])
            )
        except (ValueError, KeyError, TypeError) as error:
            raise AnswerLostError("the health answer can't be read") from error

    async def close(self) -> None:
        """Close the idle connections."""
        await self._runs.close()
        await self._probes.close()
