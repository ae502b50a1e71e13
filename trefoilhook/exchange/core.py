"""Typed JSON messages over HTTP for the platform's services."""

import base64
from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs

from trefoilhook.decoding import parse_json
from trefoilhook.exceptions import AnswerLostError, DecodeError
from trefoilhook.http import HttpResponse, JsonClient

__all__ = [
    "PlatformClient",
    "Query",
    "build_converter",
    "decode_response",
    "parse_error_name",
]

_T = TypeVar("_T")
Query = Mapping[str, str | int | float]


def _decode_bytes(value: Any, _: Any) -> bytes:
    return base64.b64decode(value, validate=True)


def build_converter() -> cattrs.Converter:
    """Build a converter between attrs classes and JSON; bytes are encoded as base64."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode("ascii")
    )
    converter.register_structure_hook(bytes, _decode_bytes)
    return converter


_CONVERTER = build_converter()


def decode_response(response: HttpResponse, kind: type[_T]) -> _T:
    """Decode the body of a response into an instance of ``kind``.

    Raises
    ------
    AnswerLostError
        If the body does not match the interface: the request may have been carried out,
        but its result is unknown.
    """
    try:
        return _CONVERTER.structure(parse_json(response.body), kind)
    except (DecodeError, ValueError, cattrs.BaseValidationError) as error:
        raise AnswerLostError(
            f"response with status {response.status} cannot be decoded"
        ) from error


def parse_error_name(response: HttpResponse) -> str:
    """Return the error name in a response body; empty if there is none."""
    try:
        value = parse_json(response.body)
    except DecodeError:
        return ""
    name = value.get("error", "") if isinstance(value, dict) else ""
    return name if isinstance(name, str) else ""


class PlatformClient:
    """HTTP client of one platform service.

    Parameters
    ----------
    host : str
        IP address of the service.
    port : int
        Port of the service.
    timeout_ms : float
        Timeout of one request, in ms.
    token : str, optional
        Bearer token sent with each request.
    max_connections : int, optional
        Maximum number of open connections; further requests wait.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout_ms: float,
        token: str | None = None,
        max_connections: int = 16,
    ) -> None:
        self._timeout_ms = timeout_ms
        self._client = JsonClient(address=(host, port), max_connections=max_connections)
        self._headers: tuple[tuple[str, str], ...] = ()
        if token is not None:
            self._headers = (("authorization", f"Bearer {token}"),)

    async def send_request(
        self,
        method: str,
        path: str,
        *,
        query: Query | None = None,
        body: object = None,
        extra_ms: float = 0.0,
    ) -> HttpResponse:
        """Send a request and return the response, regardless of its status.

        Parameters
        ----------
        method : str
            HTTP method, in upper case.
        path : str
            Path without the query.
        query : mapping, optional
            Query parameters.
        body : object, optional
            An attrs instance, sent as JSON.
        extra_ms : float, optional
            Time added to the timeout for requests that the service holds open, such as
            long polls, in ms.

        Raises
        ------
        NotSentError
            If no byte of the request was sent.
        AnswerLostError
            If the request may have been sent and no complete response was received.
        """
        return await self._client.send_request(
            method,
            path,
            query=query,
            body=_CONVERTER.unstructure(body) if body is not None else None,
            headers=self._headers,
            timeout_ms=self._timeout_ms + extra_ms,
        )

    async def close(self) -> None:
        """Close all idle connections."""
        await self._client.close()
