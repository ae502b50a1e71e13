"""HTTP handler of the admin API: routing, authorisation and dispatch."""

from collections.abc import Callable

import attrs

from trefoilhook.admin.calls import AdminContext, Call, Route
from trefoilhook.admin.errors import build_error_response, convert_error
from trefoilhook.admin.routes import ROUTES
from trefoilhook.admin.tokens import authorize
from trefoilhook.exceptions import RequestError, TrefoilhookError
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.logs import Event, log_event
from trefoilhook.results import ResultCode
from trefoilhook.settings import check_name

__all__ = ["AdminHandler", "Observe"]

#: Called for each response with the route's template, the status and the time in ms.
Observe = Callable[[str, int, float], None]

_UNMATCHED_TEMPLATE = "unknown"
_IDENTIFIER_PARAMETERS = {"team", "job_id", "instance_id"}


@attrs.frozen(kw_only=True)
class _Match:
    route: Route
    parameters: dict[str, str]


def _discard_observation(template: str, status: int, duration_ms: float) -> None:
    """Discard the observation."""


def match_template(template: str, path: str) -> dict[str, str] | None:
    """Return the path parameters of a path, or None if the template does not match."""
    expected, actual = template.split("/"), path.split("/")
    parameters: dict[str, str] = {}
    for index, segment in enumerate(expected):
        if segment.endswith("...}"):
            rest = "/".join(actual[index:])
            return {**parameters, segment[1:-4]: rest} if rest else None
        if index >= len(actual):
            return None
        if segment.startswith("{"):
            if not actual[index]:
                return None
            parameters[segment[1:-1]] = actual[index]
        elif segment != actual[index]:
            return None
    return parameters if len(expected) == len(actual) else None


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
        message = f"method not allowed; the path supports {allowed} only"
        raise RequestError(message, code=ResultCode.METHOD_NOT_ALLOWED)
    raise RequestError("unknown path", code=ResultCode.NOT_FOUND)


def _validate_identifiers(parameters: dict[str, str]) -> None:
    for name in _IDENTIFIER_PARAMETERS & parameters.keys():
        reason = check_name(parameters[name])
        if reason is not None:
            raise RequestError(f"{name} {reason}")


class AdminHandler:
    """Handles the requests of the admin API; pass `handle` to an ``HttpServer``.

    Parameters
    ----------
    context : AdminContext
        Dependencies of the operations.
    observe : callable, optional
        Called for each response with the route's template, the status and the time
        in ms.
    """

    def __init__(
        self, *, context: AdminContext, observe: Observe = _discard_observation
    ) -> None:
        self._context = context
        self._observe = observe

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handle a request; errors are returned as responses, not raised."""
        started_ms = self._context.clock.monotonic_ms()
        template = _UNMATCHED_TEMPLATE
        try:
            match = _find_route(request, _read_path(request))
            template = match.route.template
            response = await self._dispatch(request, match)
        except TrefoilhookError as error:
            response = convert_error(error)
        except Exception as error:
            # An unexpected error must neither close the connection nor stop the
            # instance, and the response must not reveal internal details.
            log_event(Event.ADMIN_FAILED, template=template, error=type(error).__name__)
            response = build_error_response(ResultCode.INTERNAL, "internal error")
        duration_ms = self._context.clock.monotonic_ms() - started_ms
        self._observe(template, response.status, duration_ms)
        return response

    async def _dispatch(self, request: HttpRequest, match: _Match) -> HttpResponse:
        _validate_identifiers(match.parameters)
        team = match.parameters.get("team")
        operator = authorize(self._context, request, match.route.scope, team)
        call = Call(
            request=request,
            parameters=match.parameters,
            query=request.query,
            operator=operator,
        )
        return await match.route.operation(self._context, call)


def _read_path(request: HttpRequest) -> str:
    try:
        return request.path
    except ValueError as error:
        raise RequestError("malformed request target") from error
