"""HTTP client of an executor.

``POST /run`` runs a request and returns its complete result. ``GET /health`` returns
``{"slots": 8, "in_use": n}``. No other module uses these paths.
"""

import math
import socket
import struct
from collections.abc import Callable

import attrs
import h11

from trefoilhook.decoding import parse_object, read_integer
from trefoilhook.exceptions import AnswerLostError, DecodeError, NotSentError
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.http.client import Connection

__all__ = ["ExecutorResponse", "ExecutorClient", "ExecutorHealth"]

_REQUEST_ID_HEADER = "x-request-id"
_DEFAULT_CONTENT_TYPE = "application/octet-stream"
_HEALTH_CHECK_CONNECTIONS = 2
# SO_LINGER with a zero timeout: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@attrs.frozen(kw_only=True)
class ExecutorResponse:
    """Complete response of an executor.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : str
        Content type of the body.
    body : bytes
        Response body.
    """

    status: int
    content_type: str
    body: bytes


@attrs.frozen(kw_only=True)
class ExecutorHealth:
    """Load reported by an executor.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests.
    in_use : int
        Number of requests running now, from all senders.
    """

    slots: int
    in_use: int


@attrs.frozen(kw_only=True)
class _ConditionalRequest(HttpRequest):
    may_send: Callable[[], bool]


class _ConditionalHttpClient(HttpClient):
    """Client that checks the permission to send immediately before sending."""

    def _encode(self, connection: Connection, request: HttpRequest) -> bytes:
        # Checked here because a process that is paused, or waits for a connection,
        # after an earlier check could send the request long after another owner has
        # taken over. No other task runs between this check and the socket's send, so at
        # most one request in the process can be past its check and unsent.
        if isinstance(request, _ConditionalRequest) and not request.may_send():
            raise NotSentError("permission to send ended before the request was sent")
        return super()._encode(connection, request)

    async def _release(self, connection: Connection, *, keep: bool) -> None:
        # After a failure, bytes left in the kernel's send buffer could reach the
        # executor minutes later, when their slot is in use by another request. Closing
        # with a reset discards them.
        failed = connection.protocol.our_state is not h11.IDLE and not keep
        if failed:
            connection.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        await super()._release(connection, keep=keep)


def _always_allow() -> bool:
    return True


class ExecutorClient:
    """HTTP client of one executor.

    Parameters
    ----------
    executor_id : str
        Id of the executor.
    host : str
        IP address of the executor.
    port : int
        Port of the executor.
    max_connections : int, optional
        Maximum number of connections that the executor accepts; two of them are
        reserved for health checks.
    """

    def __init__(
        self, *, executor_id: str, host: str, port: int, max_connections: int = 64
    ) -> None:
        self.executor_id = executor_id
        self._run_client = _ConditionalHttpClient(
            host=host,
            port=port,
            max_connections=max_connections - _HEALTH_CHECK_CONNECTIONS,
        )
        self._health_client = HttpClient(
            host=host, port=port, max_connections=_HEALTH_CHECK_CONNECTIONS
        )

    async def run(
        self,
        body: bytes,
        *,
        content_type: str,
        timeout_ms: float,
        request_id: str,
        may_send: Callable[[], bool] = _always_allow,
    ) -> ExecutorResponse:
        """Run a request on the executor and return the complete response.

        Parameters
        ----------
        body : bytes
            Request body.
        content_type : str
            Content type of the body; empty for ``application/octet-stream``.
        timeout_ms : float
            Timeout of the whole exchange, in ms.
        request_id : str
            Id of the request in the executor's records.
        may_send : callable, optional
            Called immediately before the first byte is sent, with no task switch in
            between; if it returns False, nothing is sent.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        AnswerLostError
            If the request may have been sent and no complete response was received.
        """
        request = _ConditionalRequest(
            method="POST",
            target="/run",
            headers=(
                ("content-type", content_type or _DEFAULT_CONTENT_TYPE),
                (_REQUEST_ID_HEADER, request_id),
            ),
            body=body,
            may_send=may_send,
        )
        response = await self._run_client.send(request, timeout_ms=timeout_ms)
        return ExecutorResponse(
            status=response.status,
            content_type=response.get_header("content-type") or "",
            body=response.body,
        )

    async def get_health(self, *, timeout_ms: float = math.inf) -> ExecutorHealth:
        """Return the load reported by the executor.

        Raises
        ------
        NotSentError, AnswerLostError
            If the executor cannot be reached or its response is invalid.
        """
        request = HttpRequest(method="GET", target="/health")
        response = await self._health_client.send(request, timeout_ms=timeout_ms)
        try:
            table = parse_object(response.body)
            return ExecutorHealth(
                slots=read_integer(table, "slots"), in_use=read_integer(table, "in_use")
            )
        except DecodeError as error:
            raise AnswerLostError(
                "executor health response cannot be decoded"
            ) from error

    async def close(self) -> None:
        """Close all idle connections."""
        await self._run_client.close()
        await self._health_client.close()
