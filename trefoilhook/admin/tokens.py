"""Who may call what."""

from trefoilhook.admin.calls import AdminParts, Operator, Scope
from trefoilhook.configuration import digest_token, is_token_among
from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpRequest
from trefoilhook.results import ResultCode

__all__ = ["authorize"]

_SCHEME = "bearer "
_SHOWN_DIGITS = 8
_NOBODY = Operator(name="nobody", team="")


def authorize(
    parts: AdminParts, request: HttpRequest, scope: Scope, team: str | None
) -> Operator:
    """Find out who calls and whether the call is covered.

    Parameters
    ----------
    parts : AdminParts
        Where the digests of tokens are found.
    request : HttpRequest
        The call.
    scope : Scope
        Whose token the route asks for.
    team : str or None
        Team that the call is about, if it is about one.

    Raises
    ------
    RequestError
        With UNAUTHENTICATED or FORBIDDEN.

    Notes
    -----
    Digests come from the configuration in force and from the settings at each call,
    so that a token that was added or removed counts from then on, without a restart.
    """
    if scope is Scope.PUBLIC:
        return _NOBODY
    operator = _find_operator(parts, _read_token(request))
    is_covered = operator.team is None or (
        scope is not Scope.CLUSTER and (team is None or operator.covers(team))
    )
    if not is_covered:
        message = "the token does not cover this path"
        raise RequestError(message, code=ResultCode.FORBIDDEN)
    return operator


def _read_token(request: HttpRequest) -> str:
    header = request.get_header("authorization") or ""
    if not header.lower().startswith(_SCHEME):
        message = "a bearer token is required"
        raise RequestError(message, code=ResultCode.UNAUTHENTICATED)
    return header[len(_SCHEME) :].strip()


def _find_operator(parts: AdminParts, token: str) -> Operator:
    shown = digest_token(token)[:_SHOWN_DIGITS]
    if is_token_among(token, parts.settings.cluster_tokens):
        return Operator(name=f"cluster/{shown}", team=None)
    for name in parts.view.list_teams():
        configuration = parts.view.team(name)
        if configuration is not None and configuration.tokens.covers_operator(token):
            return Operator(name=f"{name}/{shown}", team=name)
    message = "the token is not known"
    raise RequestError(message, code=ResultCode.UNAUTHENTICATED)
