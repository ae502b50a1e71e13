"""The handler of the admin API: route, authorise, carry out, answer."""

from collections.abc import Callable

import attrs

from trefoilhook.admin.calls import AdminParts, Call, Route
from trefoilhook.admin.errors import answer_code, answer_error
from trefoilhook.admin.routes import ROUTES
from trefoilhook.admin.tokens import authorize
from trefoilhook.exceptions import RequestError, TrefoilhookError
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.logs import Event, log_event
from trefoilhook.results import ResultCode
from trefoilhook.settings import is_name

__all__ = ["AdminHandler", "Observe"]

#: Told the route's template, the status and the time of each answer in ms.
Observe = Callable[[str, int, float], None]

_UNKNOWN_TEMPLATE = "unknown"
_NAMED_PLACES = {"team", "job_id", "instance_id"}


@attrs.frozen(kw_only=True)
class _Match:
    route: Route
    parameters: dict[str, str]


def _ignore(template: str, status: int, duration_ms: float) -> None:
    """Observe nothing."""


def match_template(template: str, path: str) -> dict[str, str] | None:
    """Return what stands in a template's places, or None if it does not fit."""
    wanted, given = template.split("/"), path.split("/")
    parameters: dict[str, str] = {}
    for index, step in enumerate(wanted):
        if step.endswith("...}"):
            rest = "/".join(given[index:])
            return {**parameters, step[1:-4]: rest} if rest else None
        if index >= len(given):
            return None
        if step.startswith("{"):
            if not given[index]:
                return None
            parameters[step[1:-1]] = given[index]
        elif step != given[index]:
            return None
    return parameters if len(wanted) == len(given) else None


def _find_route(request: HttpRequest, path: str) -> _Match:
    methods: set[str] = set()
    for route in ROUTES:
        parameters = match_template(route.template, path)
        if parameters is None:
            continue
        if route.method == request.method:
            return _Match(route=route, parameters=parameters)
        methods.add(route.method)
    if methods:
        allowed = ", ".join(sorted(methods))
        message = f"only {allowed} is known here"
        raise RequestError(message, code=ResultCode.METHOD_NOT_ALLOWED)
    raise RequestError("there is no such path", code=ResultCode.NOT_FOUND)


def _check_names(parameters: dict[str, str]) -> None:
    for place in _NAMED_PLACES & parameters.keys():
        reason = is_name(parameters[place])
        if reason is not None:
            raise RequestError(f"{place} {reason}")


class AdminHandler:
    """Answers the calls of the admin API; hand `handle` to an ``HttpServer``.

    Parameters
    ----------
    parts : AdminParts
        What the operations work on.
    observe : callable, optional
        Told the route's template, the status and the time of each answer in ms.
    """

    def __init__(self, *, parts: AdminParts, observe: Observe = _ignore) -> None:
        self._parts = parts
        self._observe = observe

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call; never raises."""
        started_ms = self._parts.clock.monotonic_ms()
        template = _UNKNOWN_TEMPLATE
        try:
            match = _find_route(request, _read_path(request))
            template = match.route.template
            response = await self._carry_out(request, match)
        except TrefoilhookError as error:
            response = answer_error(error)
        except Exception as error:
            # A fault in one call must cost neither the connection nor the instance;
            # the answer shows nothing of what is inside.
            log_event(Event.ADMIN_FAILED, template=template, error=type(error).__name__)
            response = answer_code(ResultCode.INTERNAL, "an internal fault")
        duration_ms = self._parts.clock.monotonic_ms() - started_ms
        self._observe(template, response.status, duration_ms)
        return response

    async def _carry_out(self, request: HttpRequest, match: _Match) -> HttpResponse:
        _check_names(match.parameters)
        team = match.parameters.get("team")
        operator = authorize(self._parts, request, match.route.scope, team)
        call = Call(
            request=request,
            parameters=match.parameters,
            query=request.query,
            operator=operator,
        )
        return await match.route.operation(self._parts, call)


def _read_path(request: HttpRequest) -> str:
    try:
        return request.path
    except ValueError as error:
        raise RequestError("the request's target is malformed") from error
