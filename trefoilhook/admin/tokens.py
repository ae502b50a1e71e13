"""Authentication and authorisation of admin calls by bearer tokens."""

from trefoilhook.admin.calls import AdminContext, Operator, Scope
from trefoilhook.configuration import digest_token, matches_any_digest
from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpRequest
from trefoilhook.results import ResultCode

__all__ = ["authorize"]

_SCHEME = "bearer "
_DIGEST_PREFIX_LENGTH = 8
_ANONYMOUS = Operator(name="nobody", team="")


def authorize(
    context: AdminContext, request: HttpRequest, scope: Scope, team: str | None
) -> Operator:
    """Authenticate the operator and check that the token covers the call.

    Parameters
    ----------
    context : AdminContext
        Configuration and settings that hold the digests of the tokens.
    request : HttpRequest
        Request to authorise.
    scope : Scope
        Kind of token that the route requires.
    team : str or None
        Team in the path, if any.

    Raises
    ------
    RequestError
        With UNAUTHENTICATED or FORBIDDEN.

    Notes
    -----
    The digests are read at each call from the configuration in force and from the
    settings, so that added and removed tokens take effect without a restart.
    """
    if scope is Scope.PUBLIC:
        return _ANONYMOUS
    operator = _find_operator(context, _read_token(request))
    is_authorized = operator.team is None or (
        scope is not Scope.CLUSTER and (team is None or operator.covers(team))
    )
    if not is_authorized:
        message = "the token does not cover this path"
        raise RequestError(message, code=ResultCode.FORBIDDEN)
    return operator


def _read_token(request: HttpRequest) -> str:
    header = request.get_header("authorization") or ""
    if not header.lower().startswith(_SCHEME):
        message = "a bearer token is required"
        raise RequestError(message, code=ResultCode.UNAUTHENTICATED)
    return header[len(_SCHEME) :].strip()


def _find_operator(context: AdminContext, token: str) -> Operator:
    digest_prefix = digest_token(token)[:_DIGEST_PREFIX_LENGTH]
    if matches_any_digest(token, context.settings.cluster_tokens):
        return Operator(name=f"cluster/{digest_prefix}", team=None)
    for name in context.view.list_teams():
        configuration = context.view.get_team(name)
        if configuration is not None and configuration.tokens.covers_operator(token):
            return Operator(name=f"{name}/{digest_prefix}", team=name)
    message = "unknown token"
    raise RequestError(message, code=ResultCode.UNAUTHENTICATED)
