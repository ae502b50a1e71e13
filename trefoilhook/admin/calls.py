"""Types of the admin API's routes and calls, and helpers to read and answer them."""

import enum
import json
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import attrs

from trefoilhook.admin.backend import AdminBackend
from trefoilhook.clock import Clock
from trefoilhook.configuration import ConfigurationEditor, ConfigurationView
from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.settings import (
    AdminSettings,
    InvalidSettingsError,
    dump_json,
    parse_json,
    read_settings,
)

__all__ = [
    "AdminContext",
    "Call",
    "Operation",
    "Operator",
    "Parameter",
    "Route",
    "Scope",
    "build_json_response",
    "read_body",
    "read_integer",
]

T = TypeVar("T")


class Scope(enum.Enum):
    """Kind of token that a route requires."""

    PUBLIC = "none"
    ANY = "any operator's"
    TEAM = "the team's operators'"
    CLUSTER = "the cluster's"


@attrs.frozen(kw_only=True)
class Operator:
    """The authenticated operator of a call.

    Parameters
    ----------
    name : str
        Author in the history of changes: team and a prefix of the token's digest.
    team : str or None
        The only team that the token covers; None if it covers all teams.
    """

    name: str
    team: str | None

    def covers(self, team: str) -> bool:
        """Return whether the token covers a team."""
        return self.team is None or self.team == team


@attrs.frozen(kw_only=True)
class AdminContext:
    """Dependencies of the operations."""

    backend: AdminBackend
    editor: ConfigurationEditor
    view: ConfigurationView
    settings: AdminSettings
    clock: Clock


@attrs.frozen(kw_only=True)
class Call:
    """An authorised call.

    Parameters
    ----------
    request : HttpRequest
        HTTP request of the call.
    parameters : dict
        Path parameters by name.
    query : dict
        Query parameters by name.
    operator : Operator
        Operator that sent the call.
    """

    request: HttpRequest
    parameters: dict[str, str]
    query: dict[str, str]
    operator: Operator


#: Executes a call and returns its response.
Operation = Callable[[AdminContext, Call], Awaitable[HttpResponse]]


@attrs.frozen(kw_only=True)
class Parameter:
    """A query parameter of a route.

    Parameters
    ----------
    name : str
        Name in the query.
    schema_type : str
        JSON schema type, ``integer`` or ``string``.
    description : str
        Description in the OpenAPI document.
    """

    name: str
    schema_type: str
    description: str


@attrs.frozen(kw_only=True)
class Route:
    """One operation of the admin API.

    Parameters
    ----------
    method : str
        HTTP method.
    template : str
        Path; ``{name}`` matches one segment and ``{name...}`` all remaining segments.
    scope : Scope
        Kind of token that is required.
    operation : callable
        Executes the call.
    summary : str
        Summary in the OpenAPI document.
    query : tuple of Parameter, optional
        Query parameters.
    body : type or None, optional
        Class of the request's JSON body; ``object`` for any JSON.
    response : type or None, optional
        Class of the response's JSON body; None if the response is not JSON.
    """

    method: str
    template: str
    scope: Scope
    operation: Operation
    summary: str
    query: tuple[Parameter, ...] = ()
    body: type[Any] | None = None
    response: type[Any] | None = None


def build_json_response(
    body: object,
    *,
    code: ResultCode = ResultCode.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Build the response whose JSON body is a declared object."""
    status = code.value.http_status
    return HttpResponse.from_json(dump_json(body), status=status, headers=headers)


def read_body(cls: type[T], request: HttpRequest) -> T:
    """Parse the request's JSON body into a declared class.

    Raises
    ------
    InvalidSettingsError
        With the code BAD_REQUEST, if the body is not valid for the class.
    """
    try:
        return read_settings(cls, parse_json(request.body))
    except InvalidSettingsError as error:
        error.code = ResultCode.BAD_REQUEST
        raise


def read_integer(
    query: dict[str, str], name: str, *, default: int, low: int, high: int
) -> int:
    """Return an integer from the query, or the default if it is missing.

    Raises
    ------
    RequestError
        If the value is not an integer within the bounds.
    """
    text = query.get(name)
    if text is None:
        return default
    is_plain = text.isascii() and text.isdigit() and len(text) <= len(str(high))
    number = int(text) if is_plain else None
    if number is None or not low <= number <= high:
        shown = json.dumps(text[:32])
        raise RequestError(f"{name} = {shown}: must be an integer from {low} to {high}")
    return number
