"""Responses to calls that were refused or failed."""

from typing import Any

import attrs

from trefoilhook.configuration import ConfigurationConflictError, ConfigurationValue
from trefoilhook.exceptions import StoreUnavailableError, TrefoilhookError
from trefoilhook.http import HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.settings import InvalidSettingsError, SettingProblem, dump_json

__all__ = ["ErrorBody", "ErrorDetail", "build_error_response", "convert_error"]


@attrs.frozen(kw_only=True)
class ErrorDetail:
    """Result code and details of an error.

    Parameters
    ----------
    number : int
        Number of the result code.
    name : str
        Name of the result code.
    outcome : str
        ``executed``, ``not run`` or ``unknown``.
    may_retry : bool
        Whether the same call may be retried.
    detail : str
        Human-readable description.
    problems : tuple of SettingProblem
        All problems found in the submitted values.
    standing : ConfigurationValue or None
        On a conflict, the current value.
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
    """Body of every error response."""

    error: ErrorDetail


def build_error_response(
    code: ResultCode,
    detail: str,
    *,
    headers: tuple[tuple[str, str], ...] = (),
    **extra: Any,
) -> HttpResponse:
    """Build the error response for a result code."""
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


def convert_error(error: TrefoilhookError) -> HttpResponse:
    """Convert an error of the project's exception hierarchy into a response."""
    code = error.code
    if isinstance(error, InvalidSettingsError):
        return build_error_response(code, str(error), problems=error.problems)
    if isinstance(error, ConfigurationConflictError):
        return build_error_response(code, str(error), standing=error.standing)
    if code is ResultCode.UNAUTHENTICATED:
        challenge = (("www-authenticate", "Bearer"),)
        return build_error_response(code, str(error), headers=challenge)
    if isinstance(error, StoreUnavailableError):
        return build_error_response(code, str(error), headers=(("retry-after", "1"),))
    return build_error_response(code, str(error))
