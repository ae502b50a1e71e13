"""Answers for calls that were refused or failed."""

from typing import Any

import attrs

from trefoilhook.configuration import ConfigurationConflictError, ConfigurationValue
from trefoilhook.exceptions import StoreUnavailableError, TrefoilhookError
from trefoilhook.http import HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.settings import InvalidSettingsError, SettingProblem, dump_json

__all__ = ["ErrorBody", "ErrorDetail", "answer_code", "answer_error"]


@attrs.frozen(kw_only=True)
class ErrorDetail:
    """What went wrong.

    Parameters
    ----------
    number : int
        Number of the result code.
    name : str
        Name of the result code.
    outcome : str
        ``executed``, ``not run`` or ``unknown``.
    may_retry : bool
        Whether the same call may be sent again.
    detail : str
        What happened, for people.
    problems : tuple of SettingProblem
        Everything wrong with the values that were sent.
    standing : ConfigurationValue or None
        On a conflict, what stands there now.
    """

    number: int
    name: str
    outcome: str
    may_retry: bool
    detail: str
    problems: tuple[SettingProblem, ...] = ()
    standing: ConfigurationValue | None = None


@attrs.frozen(kw_only=True)
class ErrorBody:
    """Body of every answer that is not a success."""

    error: ErrorDetail


def answer_code(
    code: ResultCode,
    detail: str,
    *,
    headers: tuple[tuple[str, str], ...] = (),
    **extra: Any,
) -> HttpResponse:
    """Build the answer for a result code."""
    body = ErrorBody(
        error=ErrorDetail(
            number=code.number,
            name=code.name,
            outcome=code.outcome.value,
            may_retry=code.value.may_retry,
            detail=detail,
            **extra,
        )
    )
    status = code.value.http_status
    return HttpResponse.from_json(dump_json(body), status=status, headers=headers)


def answer_error(error: TrefoilhookError) -> HttpResponse:
    """Build the answer for an error raised on purpose."""
    code = error.code
    if isinstance(error, InvalidSettingsError):
        return answer_code(code, str(error), problems=error.problems)
    if isinstance(error, ConfigurationConflictError):
        return answer_code(code, str(error), standing=error.standing)
    if code is ResultCode.UNAUTHENTICATED:
        challenge = (("www-authenticate", "Bearer"),)
        return answer_code(code, str(error), headers=challenge)
    if isinstance(error, StoreUnavailableError):
        return answer_code(code, str(error), headers=(("retry-after", "1"),))
    return answer_code(code, str(error))
