"""Operations on the configuration of teams."""

from typing import Any

import attrs

from trefoilhook.admin.backend import InForceReport
from trefoilhook.admin.calls import (
    AdminContext,
    Call,
    build_json_response,
    read_integer,
)
from trefoilhook.configuration import (
    ChangeRecord,
    ConfigurationValue,
    decode_document,
    get_value,
    parse_path,
)
from trefoilhook.exceptions import OutcomeError, RequestError, StoreError
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.logs import Event, log_event
from trefoilhook.results import ResultCode
from trefoilhook.settings import parse_json

__all__ = [
    "ConfigurationAnswer",
    "HistoryAnswer",
    "delete_configuration",
    "get_configuration",
    "list_history",
    "put_configuration",
    "validate_configuration",
    "wait_for_revision",
]

_MAX_REVISION = 1 << 62


@attrs.frozen(kw_only=True)
class ConfigurationAnswer:
    """Configuration value at a path.

    Parameters
    ----------
    team, path : str
        Team and path of the value.
    revision : int
        Revision of the team's subtree.
    value : object
        Value at the path.
    is_from_store : bool
        False if the store did not answer and the value is the one in force on the
        instance that answers.
    """

    team: str
    path: str
    revision: int
    value: Any
    is_from_store: bool = True


@attrs.frozen(kw_only=True)
class HistoryAnswer:
    """The latest changes of a team's subtree, the newest first."""

    team: str
    changes: tuple[ChangeRecord, ...]


def _get_location(call: Call) -> tuple[str, str]:
    return call.parameters["team"], call.parameters.get("path", "")


def _build_value_response(
    call: Call, found: ConfigurationValue, *, is_from_store: bool = True
) -> HttpResponse:
    team, path = _get_location(call)
    answer = ConfigurationAnswer(
        team=team,
        path="/".join(parse_path(path)),
        revision=found.revision,
        value=found.value,
        is_from_store=is_from_store,
    )
    return build_json_response(answer, headers=(("etag", f'"{found.revision}"'),))


def _read_expected_revision(request: HttpRequest, call: Call) -> int | None:
    """Return the revision that the change is based on, from ``If-Match`` or query."""
    header = request.get_header("if-match")
    if header is None or header.strip() == "*":
        found = read_integer(
            call.query, "revision", default=-1, low=0, high=_MAX_REVISION
        )
        return None if found < 0 else found
    text = {"if-match": header.strip().removeprefix("W/").strip('"')}
    return read_integer(text, "if-match", default=-1, low=0, high=_MAX_REVISION)


async def get_configuration(context: AdminContext, call: Call) -> HttpResponse:
    """Return the value at a path.

    While the store is unavailable, the value in force on this instance is returned.
    """
    team, path = _get_location(call)
    try:
        return _build_value_response(call, await context.editor.read(team, path))
    except StoreError:
        in_force = context.view.find_value(team)
        if in_force is None:
            raise
    subtree = decode_document(in_force).subtree
    found = ConfigurationValue(
        revision=context.view.find_revision(team),
        value=get_value(subtree, parse_path(path)),
    )
    return _build_value_response(call, found, is_from_store=False)


def _list_protected_sections(call: Call) -> tuple[str, ...]:
    """Return the sections that the operator may not change.

    A quota limits its team, so the team's own operators may not set it.
    """
    return () if call.operator.team is None else ("quota",)


async def put_configuration(context: AdminContext, call: Call) -> HttpResponse:
    """Set the value at a path."""
    team, path = _get_location(call)
    accepted = await context.editor.put(
        team,
        path,
        parse_json(call.request.body),
        author=call.operator.name,
        expected_revision=_read_expected_revision(call.request, call),
        protected=_list_protected_sections(call),
    )
    log_event(Event.CONFIG_CHANGED, team=team, path=path, revision=accepted.revision)
    return _build_value_response(call, accepted)


async def delete_configuration(context: AdminContext, call: Call) -> HttpResponse:
    """Delete the value at a path."""
    team, path = _get_location(call)
    accepted = await context.editor.delete(
        team,
        path,
        author=call.operator.name,
        expected_revision=_read_expected_revision(call.request, call),
        protected=_list_protected_sections(call),
    )
    log_event(Event.CONFIG_CHANGED, team=team, path=path, revision=accepted.revision)
    return _build_value_response(call, accepted)


async def validate_configuration(context: AdminContext, call: Call) -> HttpResponse:
    """Validate the subtree that a change would give, without applying the change."""
    team, path = call.parameters["team"], call.query.get("path", "")
    value = parse_json(call.request.body)
    return _build_value_response(call, await context.editor.validate(team, path, value))


async def list_history(context: AdminContext, call: Call) -> HttpResponse:
    """Return the latest changes of a team's subtree."""
    team = call.parameters["team"]
    changes = await context.editor.read_history(team)
    return build_json_response(HistoryAnswer(team=team, changes=changes))


async def wait_for_revision(context: AdminContext, call: Call) -> HttpResponse:
    """Wait until a revision is in force on every live instance."""
    revision = read_integer(
        call.query, "revision", default=-1, low=0, high=_MAX_REVISION
    )
    if revision < 0:
        raise RequestError("query parameter 'revision' is required")
    max_wait_ms = context.settings.max_wait_ms
    timeout_ms = read_integer(
        call.query, "timeout_ms", default=max_wait_ms, low=0, high=max_wait_ms
    )
    report = await context.backend.wait_in_force(
        revision=revision, timeout_ms=timeout_ms
    )
    if not report.is_in_force:
        raise OutcomeError(_describe_lag(report), code=ResultCode.STALE_REVISION)
    return build_json_response(report)


def _describe_lag(report: InForceReport) -> str:
    behind = (
        f"{instance.instance_id} at {instance.revision}"
        for instance in report.instances
        if instance.revision < report.revision
    )
    return f"revision {report.revision} is not in force yet: " + ", ".join(behind)
