"""Clients of the entry and of the admin API, for the demo and for tests."""

import json
from typing import Any

import attrs

from trefoilhook.clock import Clock
from trefoilhook.http import HttpClient, HttpRequest
from trefoilhook.results import ResultCode

__all__ = ["AdminClient", "Answer", "EntryClient"]

_HOST = "127.0.0.1"
_TIMEOUT_MS = 30_000.0


@attrs.frozen(kw_only=True)
class Answer:
    """Response to a caller's request.

    Parameters
    ----------
    code : ResultCode
        Result code of the request.
    instance_id, executor_id : str
        Instance that answered, and executor that ran the request.
    body : bytes
        Complete body of the response.
    latency_ms : float
        Time from request to response, in ms.
    retry_after_ms : float
        Time after which to retry, in ms; 0 if the response gave none.
    """

    code: ResultCode
    instance_id: str
    executor_id: str
    body: bytes
    latency_ms: float
    retry_after_ms: float = 0.0


class EntryClient:
    """Client of an instance's entry port.

    Parameters
    ----------
    port : int
        Entry port of the instance.
    token : str
        Bearer token of the caller.
    clock : Clock
        Source of the time that measures latency.
    """

    def __init__(self, *, port: int, token: str, clock: Clock) -> None:
        self._client = HttpClient(host=_HOST, port=port)
        self._token = token
        self._clock = clock

    async def send(
        self,
        team: str,
        service: str,
        body: bytes,
        *,
        key: str | None = None,
        timeout_ms: float | None = None,
    ) -> Answer:
        """Send a request and return the response.

        Raises
        ------
        TransportError
            If no complete response was received.
        """
        headers = [("authorization", f"Bearer {self._token}")]
        if key is not None:
            headers.append(("idempotency-key", key))
        if timeout_ms is not None:
            headers.append(("request-timeout-ms", f"{timeout_ms:g}"))
        request = HttpRequest(
            method="POST",
            target=f"/v1/teams/{team}/services/{service}/requests",
            headers=tuple(headers),
            body=body,
        )
        started_ms = self._clock.monotonic_ms()
        response = await self._client.send(request, timeout_ms=_TIMEOUT_MS)
        number = int(response.get_header("trefoilhook-result") or "900")
        return Answer(
            code=ResultCode.from_number(number),
            instance_id=response.get_header("trefoilhook-instance") or "",
            executor_id=response.get_header("trefoilhook-executor") or "",
            body=response.body,
            latency_ms=self._clock.monotonic_ms() - started_ms,
            retry_after_ms=float(response.get_header("retry-after-ms") or 0),
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()


class AdminClient:
    """Client of an instance's admin API.

    Parameters
    ----------
    port : int
        Admin port of the instance.
    token : str
        Bearer token of the operator.
    """

    def __init__(self, *, port: int, token: str) -> None:
        self._client = HttpClient(host=_HOST, port=port)
        self._token = token

    async def send(self, method: str, target: str, body: Any = None) -> Any:
        """Send a call and return the parsed JSON body of the response.

        Raises
        ------
        RuntimeError
            If the response has an error status.
        """
        status, value = await self.send_request(method, target, body)
        if status >= 300:
            raise RuntimeError(f"{method} {target}: {status} {value}")
        return value

    async def send_request(
        self, method: str, target: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a call and return the status and parsed JSON body of the response."""
        request = HttpRequest(
            method=method,
            target=target,
            headers=(
                ("authorization", f"Bearer {self._token}"),
                ("content-type", "application/json"),
            ),
            body=b"" if body is None else json.dumps(body).encode(),
        )
        response = await self._client.send(request, timeout_ms=_TIMEOUT_MS)
        return response.status, response.parse_json() if response.body else None

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()
