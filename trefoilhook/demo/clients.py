"""A caller and an operator of the demo."""

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
    """What a caller got.

    Parameters
    ----------
    code : ResultCode
        What became of the request.
    instance_id, executor_id : str
        Who answered, and who ran it.
    body : bytes
        The whole body.
    latency_ms : float
        Time of the exchange, in ms.
    retry_after_ms : float
        When to come back, in ms; 0 when not told.
    """

    code: ResultCode
    instance_id: str
    executor_id: str
    body: bytes
    latency_ms: float
    retry_after_ms: float = 0.0


class EntryClient:
    """A caller of one instance.

    Parameters
    ----------
    port : int
        Entry port of the instance.
    token : str
        Caller's token.
    clock : Clock
        Time.
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
        """Send one request and return what came back.

        Raises
        ------
        TransportError
            If no whole answer came.
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
    """An operator at one instance's admin API.

    Parameters
    ----------
    port : int
        Admin port of the instance.
    token : str
        Operator's token.
    """

    def __init__(self, *, port: int, token: str) -> None:
        self._client = HttpClient(host=_HOST, port=port)
        self._token = token

    async def send(self, method: str, target: str, body: Any = None) -> Any:
        """Send a call and return its answer read as JSON.

        Raises
        ------
        RuntimeError
            If the answer is not a success.
        """
        status, value = await self.exchange(method, target, body)
        if status >= 300:
            raise RuntimeError(f"{method} {target}: {status} {value}")
        return value

    async def exchange(
        self, method: str, target: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a call and return its status and its answer read as JSON."""
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
