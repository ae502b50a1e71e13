"""The exchange of JSON with one of the platform's services."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse

__all__ = ["Address", "JsonClient", "parse_address", "read_object"]

Address = tuple[str, int]

_JSON_HEADERS = (("content-type", "application/json"),)


def parse_address(text: str) -> Address:
    """Split ``HOST:PORT``.

    Raises
    ------
    ValueError
        If there is no port.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"no port in {text!r}")
    return host, int(port)


def read_object(response: HttpResponse) -> dict[str, Any]:
    """Read the body of an answer as a JSON object.

    Raises
    ------
    AnswerLostError
        If it is none: the call was carried out, but what it did can't be told.
    """
    try:
        value = response.parse_json()
    except ValueError as error:
        raise AnswerLostError("unreadable answer") from error
    if not isinstance(value, dict):
        raise AnswerLostError("the answer is no JSON object")
    return value


class JsonClient:
    """Sends JSON to one service of the platform.

    Parameters
    ----------
    address : (str, int)
        IP number and port of the service.
    max_connections : int
        Most connections open at once; further calls wait.
    """

    def __init__(self, *, address: Address, max_connections: int) -> None:
        self._http = HttpClient(
            host=address[0], port=address[1], max_connections=max_connections
        )

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        query: Mapping[str, str | int] | None = None,
        body: Any = None,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> HttpResponse:
        """Send one call and return its answer, whatever its status.

        Raises
        ------
        NotSentError
            If no byte of the call left.
        AnswerLostError
            If the call left and no whole answer came back.
        """
        target = path if not query else f"{path}?{urlencode(query)}"
        data = b""
        if body is not None:
            data = json.dumps(body, separators=(",", ":")).encode()
            headers = _JSON_HEADERS + headers
        request = HttpRequest(method=method, target=target, headers=headers, body=data)
        try:
            return await self._http.send(request, timeout_ms=timeout_ms)
        except AnswerLostError:
            # Guards against open connections that went silent together, because
            # something between the ends forgot them: one call after another would
            # time out on them. With the idle ones closed, the next call opens anew.
            await self._http.close()
            raise

    async def close(self) -> None:
        """Close the idle connections."""
        await self._http.close()
