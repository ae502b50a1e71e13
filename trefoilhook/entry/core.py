"""HTTP request handler for callers.

``POST /v1/teams/{team}/services/{service}/requests`` runs the body on an executor of
the service.
"""

import math
import re
from collections.abc import Awaitable, Callable

from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.logs import Event, log_event
from trefoilhook.requests import (
    Attempt,
    CallerAnswer,
    CallerRequest,
    TeamView,
    TokenCheckResult,
    parse_key,
)
from trefoilhook.results import Outcome, ResultCode

__all__ = ["build_entry_handler"]

CallerHandler = Callable[[CallerRequest], Awaitable[CallerAnswer]]

_PATH_PATTERN = re.compile(r"/v1/teams/([^/]+)/services/([^/]+)/requests")
_BEARER = "bearer "
_MS_PER_S = 1000.0
_MAX_TIMEOUT_MS = 600_000.0
_TOKEN_ERROR_CODES = {
    TokenCheckResult.UNKNOWN: ResultCode.UNAUTHENTICATED,
    TokenCheckResult.FORBIDDEN: ResultCode.FORBIDDEN,
}


def build_entry_handler(
    *, instance_id: str, teams: TeamView, handle_request: CallerHandler
) -> Callable[[HttpRequest], Awaitable[HttpResponse]]:
    """Build the HTTP handler for callers' requests.

    Parameters
    ----------
    instance_id : str
        Id of this instance, sent in the response unless another instance owns the
        request.
    teams : TeamView
        Configuration of the teams.
    handle_request : callable
        Handles a parsed and authorised request.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        try:
            caller_request = _parse_request(request, teams)
        except RequestError as error:
            answer = CallerAnswer(code=error.code, detail=str(error))
        else:
            answer = await _serve(caller_request)
        return _build_response(answer, instance_id)

    async def _serve(request: CallerRequest) -> CallerAnswer:
        # An unexpected exception must not stop the listener and fail all other
        # requests. The caller receives an error with an unknown outcome.
        try:
            return await handle_request(request)
        except Exception as error:
            log_event(Event.TASK_FAILED, task="handle_caller", error=repr(error))
            return CallerAnswer(code=ResultCode.INTERNAL)

    return handle


def _parse_request(request: HttpRequest, teams: TeamView) -> CallerRequest:
    match = _PATH_PATTERN.fullmatch(request.path)
    if match is None:
        raise RequestError("no such path", code=ResultCode.NOT_FOUND)
    team, service = match.group(1), match.group(2)
    if request.method != "POST":
        raise RequestError("use POST", code=ResultCode.METHOD_NOT_ALLOWED)
    _check_token(request, teams, team)
    key = request.get_header("idempotency-key")
    return CallerRequest(
        team=team,
        service=service,
        key=parse_key(key) if key is not None else b"",
        content_type=request.get_header("content-type") or "",
        body=request.body,
        timeout_ms=_parse_timeout_ms(request),
        attempt=_parse_attempt(request),
    )


def _check_token(request: HttpRequest, teams: TeamView, team: str) -> None:
    header = request.get_header("authorization") or ""
    token = header[len(_BEARER) :] if header.lower().startswith(_BEARER) else ""
    verdict = teams.check_token(team, token.strip())
    error_code = _TOKEN_ERROR_CODES.get(verdict)
    if error_code is not None:
        raise RequestError("the token does not allow this", code=error_code)


def _parse_timeout_ms(request: HttpRequest) -> float | None:
    text = request.get_header("request-timeout-ms")
    if text is None:
        return None
    try:
        timeout_ms = float(text)
    except ValueError as error:
        raise RequestError("Request-Timeout-Ms is no number") from error
    if not 0 < timeout_ms <= _MAX_TIMEOUT_MS:
        raise RequestError("Request-Timeout-Ms is out of range")
    return timeout_ms


def _parse_attempt(request: HttpRequest) -> Attempt:
    text = request.get_header("request-attempt")
    if text is None:
        return Attempt.UNSPECIFIED
    if not (text.isascii() and text.isdigit() and int(text) > 0):
        raise RequestError("Request-Attempt is no number from 1 up")
    return Attempt.FIRST if int(text) == 1 else Attempt.REPEATED


def _build_response(answer: CallerAnswer, instance_id: str) -> HttpResponse:
    code = answer.code
    headers = [
        ("trefoilhook-result", str(code.number)),
        ("trefoilhook-outcome", code.outcome.value),
        ("trefoilhook-instance", answer.owner_instance_id or instance_id),
    ]
    if answer.executor_id:
        headers.append(("trefoilhook-executor", answer.executor_id))
    if answer.retry_after_ms > 0:
        seconds = math.ceil(answer.retry_after_ms / _MS_PER_S)
        headers.append(("retry-after", str(seconds)))
        headers.append(("retry-after-ms", str(math.ceil(answer.retry_after_ms))))
    has_body = code.outcome is Outcome.EXECUTED and answer.status > 0
    if not has_body:
        return _build_error_response(answer, tuple(headers))
    headers.append(("content-type", answer.content_type or "application/octet-stream"))
    return HttpResponse(status=answer.status, headers=tuple(headers), body=answer.body)


def _build_error_response(
    answer: CallerAnswer, headers: tuple[tuple[str, str], ...]
) -> HttpResponse:
    code = answer.code
    value = {
        "code": code.number,
        "name": code.name,
        "outcome": code.outcome.value,
        "message": answer.detail or code.value.meaning,
        "retry_after_ms": math.ceil(answer.retry_after_ms),
    }
    return HttpResponse.from_json(value, status=code.value.http_status, headers=headers)
