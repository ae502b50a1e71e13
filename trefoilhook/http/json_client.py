"""A JSON client for one service, over a connection pool."""

import json
from collections.abc import Mapping
from typing import Any
from urllib.parse import urlencode

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http.client import Connection, HttpClient, NoteReceived
from trefoilhook.http.core import Headers, HttpRequest, HttpResponse
from trefoilhook.http.idle import IdleLimit

__all__ = ["JsonClient"]

_JSON_HEADERS: Headers = (("content-type", "application/json"),)

_encode = json.JSONEncoder(separators=(",", ":")).encode
"""Shared, as building an encoder takes a third of the time of a short body."""


class JsonClient:
    """Exchanges JSON with one service.

    Parameters
    ----------
    address : (str, int)
        IP address and port of the service.
    max_connections : int
        Maximum number of open connections; further calls wait.
    idle_limit : IdleLimit, optional
        Limit on the idle connections that this client shares with others.
    max_cached_heads : int, optional
        Maximum number of validated request heads that are kept for later requests.
    """

    def __init__(
        self,
        *,
        address: tuple[str, int],
        max_connections: int,
        idle_limit: IdleLimit[Connection] | None = None,
        max_cached_heads: int = 0,
    ) -> None:
        self._http = HttpClient(
            host=address[0],
            port=address[1],
            max_connections=max_connections,
            idle_limit=idle_limit,
            max_cached_heads=max_cached_heads,
        )

    async def send_request(
        self,
        method: str,
        path: str,
        *,
        timeout_ms: float,
        query: Mapping[str, str | int | float] | None = None,
        body: Any = None,
        headers: Headers = (),
        pause_ms: float = 0.0,
        note_received: NoteReceived | None = None,
    ) -> HttpResponse:
        """Send one call and return the response, whatever its status.

        Parameters
        ----------
        method : str
            Method, in upper case.
        path : str
            Path, without the query.
        timeout_ms : float
            Time-out of the exchange, in ms.
        query : mapping, optional
            Query parameters.
        body : object, optional
            Request body, sent as JSON; None sends no body.
        headers : tuple of (str, str), optional
            Additional headers.
        pause_ms : float, optional
            Time-out between two parts of the response, in ms, if it may take longer
            than ``timeout_ms``.
        note_received : callable, optional
            Called with the number of bytes of each part of the response received.

        Raises
        ------
        NotSentError
            If no byte of the call was sent.
        AnswerLostError
            If the call may have been sent and no complete response was received.
        """
        target = path if not query else f"{path}?{urlencode(query)}"
        data = b""
        if body is not None:
            data = _encode(body).encode()
            headers = _JSON_HEADERS + headers
        request = HttpRequest(method=method, target=target, headers=headers, body=data)
        try:
            return await self._http.send(
                request,
                timeout_ms=timeout_ms,
                pause_ms=pause_ms,
                note_received=note_received,
            )
        except AnswerLostError:
            # All pooled connections may be dead at once, for example after a middlebox
            # dropped their state, and each would time out one call. Closing the idle
            # ones makes the next call open a new connection.
            await self._http.close()
            raise

    async def close(self) -> None:
        """Close the idle connections."""
        await self._http.close()
