"""A call of the admin API: its route, its caller and typed access to its parts."""

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
    "AdminParts",
    "Call",
    "Operation",
    "Operator",
    "Parameter",
    "Route",
    "Scope",
    "answer_json",
    "read_body",
    "read_integer",
]

T = TypeVar("T")


class Scope(enum.Enum):
    """Whose token a route asks for."""

    PUBLIC = "none"
    ANY = "any operator's"
    TEAM = "the team's operators'"
    CLUSTER = "the cluster's"


@attrs.frozen(kw_only=True)
class Operator:
    """Who calls.

    Parameters
    ----------
    name : str
        For the history of changes: team and the beginning of the token's digest.
    team : str or None
        The only team that the token covers; None when it covers all.
    """

    name: str
    team: str | None

    def covers(self, team: str) -> bool:
        """Tell whether the token covers a team."""
        return self.team is None or self.team == team


@attrs.frozen(kw_only=True)
class AdminParts:
    """What the operations work on."""

    backend: AdminBackend
    editor: ConfigurationEditor
    view: ConfigurationView
    settings: AdminSettings
    clock: Clock


@attrs.frozen(kw_only=True)
class Call:
    """One authorised call.

    Parameters
    ----------
    request : HttpRequest
        The request.
    parameters : dict
        What stood in the places of the route's template.
    query : dict
        Query parameters.
    operator : Operator
        Who calls.
    """

    request: HttpRequest
    parameters: dict[str, str]
    query: dict[str, str]
    operator: Operator


#: Carries a call out.
Operation = Callable[[AdminParts, Call], Awaitable[HttpResponse]]


@attrs.frozen(kw_only=True)
class Parameter:
    """A query parameter of a route.

    Parameters
    ----------
    name : str
        Name in the query.
    schema_type : str
        Type in the API's description, ``integer`` or ``string``.
    description : str
        For operators.
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
        Path; ``{name}`` stands for one step and ``{name...}`` for all that follow.
    scope : Scope
        Whose token is asked for.
    operation : callable
        Carries the call out.
    summary : str
        For operators.
    query : tuple of Parameter, optional
        Query parameters.
    body : type or None, optional
        Class of the request's JSON body; ``object`` for any JSON.
    answer : type or None, optional
        Class of the answer's JSON body; None for an answer that is not JSON.
    """

    method: str
    template: str
    scope: Scope
    operation: Operation
    summary: str
    query: tuple[Parameter, ...] = ()
    body: type[Any] | None = None
    answer: type[Any] | None = None


def answer_json(
    body: object,
    *,
    code: ResultCode = ResultCode.OK,
    headers: tuple[tuple[str, str], ...] = (),
) -> HttpResponse:
    """Build the answer that carries a declared object."""
    status = code.value.http_status
    return HttpResponse.from_json(dump_json(body), status=status, headers=headers)


def read_body(cls: type[T], request: HttpRequest) -> T:
    """Read the request's JSON body into a declared class.

    Raises
    ------
    InvalidSettingsError
        With the code BAD_REQUEST, if the body is not such an object.
    """
    try:
        return read_settings(cls, parse_json(request.body))
    except InvalidSettingsError as error:
        error.code = ResultCode.BAD_REQUEST
        raise


def read_integer(
    query: dict[str, str], name: str, *, default: int, low: int, high: int
) -> int:
    """Read a whole number from the query.

    Raises
    ------
    RequestError
        If it is not a whole number within the bounds.
    """
    text = query.get(name)
    if text is None:
        return default
    is_plain = text.isascii() and text.isdigit() and len(text) <= len(str(high))
    number = int(text) if is_plain else None
    if number is None or not low <= number <= high:
        shown = json.dumps(text[:32])
        raise RequestError(f"{name} = {shown}: must be {low} to {high}")
    return number
