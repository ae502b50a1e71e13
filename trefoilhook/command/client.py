"""Client of the admin API."""

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote, urlencode, urlsplit

import attrs

from trefoilhook.admin import ErrorBody, ErrorDetail
from trefoilhook.exceptions import (
    AnswerLostError,
    NotSentError,
    SettingsError,
    TrefoilhookError,
)
from trefoilhook.http import HttpClient, HttpRequest, HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.settings import parse_json, read_message

__all__ = ["AdminClient", "ApiError", "Send", "ServerAddress", "build_send"]

T = TypeVar("T")

#: Sends a request and returns the complete response, within a time-out in ms.
Send = Callable[[HttpRequest, float], Awaitable[HttpResponse]]

_FIRST_ERROR_STATUS = 400
_DEFAULT_TIMEOUT_MS = 15_000.0


@attrs.frozen(kw_only=True)
class ServerAddress:
    """Address of an instance's admin API."""

    host: str
    port: int
    is_tls: bool

    @classmethod
    def from_text(cls, text: str) -> "ServerAddress":
        """Parse an address like ``http://10.0.0.1:2380`` or ``https://10.0.0.1:2380``.

        Raises
        ------
        SettingsError
            If the text is not such an address.
        """
        try:
            parts = urlsplit(text if "//" in text else f"http://{text}")
            host, port = parts.hostname, parts.port
        except ValueError:
            host, port = None, None
        if host is None or port is None or parts.scheme not in ("http", "https"):
            raise SettingsError(f"{text!r} is not an address like http://10.0.0.1:2380")
        return cls(host=host, port=port, is_tls=parts.scheme == "https")


class ApiError(TrefoilhookError):
    """The admin API rejected a request, or the request failed on the way.

    Parameters
    ----------
    detail : ErrorDetail
        Error from the response, or one built by the client if there is none.
    """

    def __init__(self, *, detail: ErrorDetail) -> None:
        super().__init__(detail.detail)
        self.detail = detail
        self.code = _parse_code(detail.number)


def _parse_code(number: int) -> ResultCode:
    try:
        return ResultCode.from_number(number)
    except ValueError:
        return ResultCode.INTERNAL


def build_error(code: ResultCode, detail: str) -> ApiError:
    """Build the error for a failure without an error response of the admin API."""
    return ApiError(
        detail=ErrorDetail(
            number=code.number,
            name=code.name,
            outcome=code.outcome.value,
            may_retry=code.value.may_retry,
            detail=detail,
        )
    )


def build_send(address: ServerAddress, *, ca_file: Path | None) -> Send:
    """Build a function that sends requests to one address.

    Parameters
    ----------
    address : ServerAddress
        Address to send to.
    ca_file : path or None
        PEM file with the certificate authorities to trust; the system's if None.
    """
    tls = None
    if address.is_tls:
        tls = ssl.create_default_context(cafile=ca_file)
    client = HttpClient(host=address.host, port=address.port, tls=tls)

    async def send(request: HttpRequest, timeout_ms: float) -> HttpResponse:
        return await client.send(request, timeout_ms=timeout_ms)

    return send


class AdminClient:
    """Calls the admin API.

    Parameters
    ----------
    send : callable
        Sends a request.
    token : str
        Operator token; empty for none.
    """

    def __init__(self, *, send: Send, token: str) -> None:
        self._send = send
        self._token = token

    async def fetch(
        self,
        cls: type[T],
        method: str,
        segments: tuple[str, ...],
        *,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_ms: float = _DEFAULT_TIMEOUT_MS,
    ) -> T:
        """Send a request and parse the response.

        Parameters
        ----------
        cls : type
            Class of the response body.
        method : str
            HTTP method.
        segments : tuple of str
            Segments of the path, not yet quoted.
        query : dict, optional
            Query parameters.
        body : bytes, optional
            JSON body.
        timeout_ms : float, optional
            Time-out for the response, in ms.

        Raises
        ------
        ApiError
            If the request was rejected or failed, or the response is invalid.
        """
        target = "/" + "/".join(quote(segment, safe="") for segment in segments)
        if query:
            target += "?" + urlencode(query)
        request = HttpRequest(
            method=method, target=target, headers=self._build_headers(), body=body
        )
        response = await self._send_request(request, timeout_ms)
        data = _parse_body(response)
        if response.status >= _FIRST_ERROR_STATUS:
            raise _build_response_error(response, data)
        try:
            return read_message(cls, data)
        except SettingsError as error:
            raise build_error(
                ResultCode.ANSWER_LOST, f"invalid response: {error}"
            ) from error

    def _build_headers(self) -> tuple[tuple[str, str], ...]:
        content_type = ("content-type", "application/json")
        if not self._token:
            return (content_type,)
        return (content_type, ("authorization", f"Bearer {self._token}"))

    async def _send_request(
        self, request: HttpRequest, timeout_ms: float
    ) -> HttpResponse:
        try:
            return await self._send(request, timeout_ms)
        except (NotSentError, AnswerLostError) as error:
            raise build_error(error.code, str(error)) from error


def _parse_body(response: HttpResponse) -> Any:
    try:
        return parse_json(response.body)
    except SettingsError:
        return None


def _build_response_error(response: HttpResponse, data: Any) -> ApiError:
    try:
        return ApiError(detail=read_message(ErrorBody, data).error)
    except SettingsError:
        return build_error(
            ResultCode.INTERNAL,
            f"response without an error body, HTTP status {response.status}",
        )
