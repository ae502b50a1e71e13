"""Exchange of typed JSON messages with one of the platform's services."""

import base64
from collections.abc import Mapping
from typing import Any, TypeVar

import cattrs

from trefoilhook.exceptions import AnswerLostError
from trefoilhook.http import HttpResponse, JsonClient

__all__ = [
    "PlatformClient",
    "Query",
    "build_converter",
    "decode_answer",
    "read_error_name",
]

_T = TypeVar("_T")
Query = Mapping[str, str | int | float]


def _decode_bytes(value: Any, _: Any) -> bytes:
    return base64.b64decode(value, validate=True)


def build_converter() -> cattrs.Converter:
    """Build the converter between attrs classes and JSON; bytes become base64."""
    converter = cattrs.Converter()
    converter.register_unstructure_hook(
        bytes, lambda value: base64.b64encode(value).decode("ascii")
    )
    converter.register_structure_hook(bytes, _decode_bytes)
    return converter


_converter = build_converter()


def decode_answer(response: HttpResponse, kind: type[_T]) -> _T:
    """Read the body of an answer as an instance of ``kind``.

    Raises
    ------
    AnswerLostError
        If the body is not what the interface promises: its call was carried out, but
        the answer can't be told.
    """
    try:
        return _converter.structure(response.parse_json(), kind)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise AnswerLostError(f"unreadable answer, status {response.status}") from error


def read_error_name(response: HttpResponse) -> str:
    """Return the name of the error that an answer carries; empty if it has none."""
    try:
        value = response.parse_json()
    except ValueError:
        return ""
    name = value.get("error", "") if isinstance(value, dict) else ""
    return name if isinstance(name, str) else ""


class PlatformClient:
    """Sends JSON to one service of the platform.

    Parameters
    ----------
    host : str
        Address of the service, an IP number.
    port : int
        Port of the service.
    timeout_ms : float
        Longest time for one exchange, in ms.
    token : str, optional
        Bearer token sent with each call.
    max_connections : int, optional
        Most connections open at once; further calls wait.
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

    async def exchange(
        self,
        method: str,
        path: str,
        *,
        query: Query | None = None,
        body: object = None,
        extra_ms: float = 0.0,
    ) -> HttpResponse:
        """Send one call and return its answer, whatever its status.

        Parameters
        ----------
        method : str
            Method, in capitals.
        path : str
            Path, without its query.
        query : mapping, optional
            Query parameters.
        body : object, optional
            An attrs instance, sent as JSON.
        extra_ms : float, optional
            Time that the call may take on purpose, over the timeout, in ms.

        Raises
        ------
        NotSentError
            If no byte of the call left.
        AnswerLostError
            If the call left and no whole answer came back.
        """
        return await self._client.exchange(
            method,
            path,
            query=query,
            body=_converter.unstructure(body) if body is not None else None,
            headers=self._headers,
            timeout_ms=self._timeout_ms + extra_ms,
        )

    async def close(self) -> None:
        """Close the idle connections."""
        await self._client.close()
