"""Exchange of JSON with one service over a pool of connections."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http.client import HttpClient
from trefoilhook.http.core import Headers, HttpRequest, HttpResponse

__all__ = ["JsonClient"]

_JSON_HEADERS: Headers = (("content-type", "application/json"),)


class JsonClient:
    """Sends JSON to one service.

    Parameters
    ----------
    address : (str, int)
        IP number and port of the service.
    max_connections : int
        Most connections open at once; further calls wait.
    """

    def __init__(self, *, address: tuple[str, int], max_connections: int) -> None:
        self._http = HttpClient(
            host=address[0], port=address[1], max_connections=max_connections
        )

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        query: Mapping[str, str | int | float] | None = None,
        body: Any = None,
        headers: Headers = (),
    ) -> HttpResponse:
        """Send one call and return its answer, whatever its status.

        Parameters
        ----------
        method : str
            Method, in capitals.
        path : str
            Path, without its query.
        timeout_ms : float
            Longest time for the whole exchange, in ms.
        query : mapping, optional
            Query parameters.
        body : object, optional
            Sent as JSON; None sends no body.
        headers : tuple of (str, str), optional
            Further headers.

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
