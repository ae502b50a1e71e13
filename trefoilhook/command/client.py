"""The command line's client of the admin API."""

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

#: Sends a request and returns its whole answer, within a time in ms.
Send = Callable[[HttpRequest, float], Awaitable[HttpResponse]]

_FIRST_FAILURE_STATUS = 400
_DEFAULT_TIMEOUT_MS = 15_000.0


@attrs.frozen(kw_only=True)
class ServerAddress:
    """Where the admin API listens."""

    host: str
    port: int
    is_tls: bool

    @classmethod
    def from_text(cls, text: str) -> "ServerAddress":
        """Read ``http://10.0.0.1:2380`` or ``https://...``.

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
    """The admin API refused a call, or it failed on its way.

    Parameters
    ----------
    detail : ErrorDetail
        What the admin API answered, or what stands for it.
    """

    def __init__(self, *, detail: ErrorDetail) -> None:
        super().__init__(detail.detail)
        self.detail = detail
        self.code = _find_code(detail.number)


def _find_code(number: int) -> ResultCode:
    try:
        return ResultCode.from_number(number)
    except ValueError:
        return ResultCode.INTERNAL


def build_error(code: ResultCode, detail: str) -> ApiError:
    """Build the error for a failure that the admin API did not answer itself."""
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
    """Build the function that sends to one address.

    Parameters
    ----------
    address : ServerAddress
        Where to.
    authority_file : path or None
        PEM file of the authorities that the server's certificate must come from; the
        machine's own when None.
    """
    tls = None
    if address.is_tls:
        tls = ssl.create_default_context(cafile=ca_file)
    client = HttpClient(host=address.host, port=address.port, tls=tls)

    async def send(request: HttpRequest, timeout_ms: float) -> HttpResponse:
        return await client.send(request, timeout_ms=timeout_ms)

    return send


class AdminClient:
    """Calls of the admin API.

    Parameters
    ----------
    send : callable
        Sends a request.
    token : str
        Operator's token; empty for none.
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
        """Make one call and read its answer.

        Parameters
        ----------
        cls : type
            Class of the answer.
        method : str
            HTTP method.
        steps : tuple of str
            Steps of the path.
        query : dict, optional
            Query parameters.
        body : bytes, optional
            JSON body.
        timeout_ms : float, optional
            Longest time for the answer, in ms.

        Raises
        ------
        ApiError
            If the call was refused or failed.
        """
        target = "/" + "/".join(quote(step, safe="") for step in segments)
        if query:
            target += "?" + urlencode(query)
        request = HttpRequest(
            method=method, target=target, headers=self._build_headers(), body=body
        )
        response = await self._send_request(request, timeout_ms)
        data = _parse_answer(response)
        if response.status >= _FIRST_FAILURE_STATUS:
            raise _read_error(response, data)
        try:
            return read_message(cls, data)
        except SettingsError as error:
            raise build_error(ResultCode.ANSWER_LOST, f"odd answer: {error}") from error

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


def _parse_answer(response: HttpResponse) -> Any:
    try:
        return parse_json(response.body)
    except SettingsError:
        return None


def _read_error(response: HttpResponse, data: Any) -> ApiError:
    try:
        return ApiError(detail=read_message(ErrorBody, data).error)
    except SettingsError:
        return build_error(ResultCode.INTERNAL, f"status {response.status}")
