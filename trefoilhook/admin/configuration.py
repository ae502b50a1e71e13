"""Operations on the teams' configuration."""

from typing import Any

import attrs

from trefoilhook.admin.backend import InForceReport
from trefoilhook.admin.calls import AdminParts, Call, answer_json, read_integer
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
    """What stands at a path.

    Parameters
    ----------
    team, path : str
        Where.
    revision : int
        Revision of the team's subtree.
    value : object
        The value.
    is_from_store : bool
        False when the store did not answer and this is what is in force here.
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


def _get_place(call: Call) -> tuple[str, str]:
    return call.parameters["team"], call.parameters.get("path", "")


def _answer_value(
    call: Call, found: ConfigurationValue, *, is_from_store: bool = True
) -> HttpResponse:
    team, path = _get_place(call)
    answer = ConfigurationAnswer(
        team=team,
        path="/".join(parse_path(path)),
        revision=found.revision,
        value=found.value,
        is_from_store=is_from_store,
    )
    return answer_json(answer, headers=(("etag", f'"{found.revision}"'),))


def _read_expected_revision(request: HttpRequest, call: Call) -> int | None:
    """Read the revision that was edited, from the query or from ``If-Match``."""
    header = request.get_header("if-match")
    if header is None or header.strip() == "*":
        found = read_integer(
            call.query, "revision", default=-1, low=0, high=_MAX_REVISION
        )
        return None if found < 0 else found
    text = {"if-match": header.strip().removeprefix("W/").strip('"')}
    return read_integer(text, "if-match", default=-1, low=0, high=_MAX_REVISION)


async def get_configuration(parts: AdminParts, call: Call) -> HttpResponse:
    """Return what stands at a path.

    While the store is down, what is in force on this instance is returned instead.
    """
    team, path = _get_place(call)
    try:
        return _answer_value(call, await parts.editor.read(team, path))
    except StoreError:
        in_force = parts.view.find_value(team)
        if in_force is None:
            raise
    subtree = decode_document(in_force).subtree
    found = ConfigurationValue(
        revision=parts.view.find_revision(team),
        value=get_value(subtree, parse_path(path)),
    )
    return _answer_value(call, found, is_from_store=False)


def _list_kept(call: Call) -> tuple[str, ...]:
    """Return what the caller may not change.

    A quota bounds its team, so the team's own operators don't set it.
    """
    return () if call.operator.team is None else ("quota",)


async def put_configuration(parts: AdminParts, call: Call) -> HttpResponse:
    """Set the value at a path."""
    team, path = _get_place(call)
    accepted = await parts.editor.put(
        team,
        path,
        parse_json(call.request.body),
        author=call.operator.name,
        expected_revision=_read_expected_revision(call.request, call),
        kept=_list_kept(call),
    )
    log_event(Event.CONFIG_CHANGED, team=team, path=path, revision=accepted.revision)
    return _answer_value(call, accepted)


async def delete_configuration(parts: AdminParts, call: Call) -> HttpResponse:
    """Delete what stands at a path."""
    team, path = _get_place(call)
    accepted = await parts.editor.delete(
        team,
        path,
        author=call.operator.name,
        expected_revision=_read_expected_revision(call.request, call),
        kept=_list_kept(call),
    )
    log_event(Event.CONFIG_CHANGED, team=team, path=path, revision=accepted.revision)
    return _answer_value(call, accepted)


async def validate_configuration(parts: AdminParts, call: Call) -> HttpResponse:
    """Check a change whole without making it."""
    team, path = call.parameters["team"], call.query.get("path", "")
    value = parse_json(call.request.body)
    return _answer_value(call, await parts.editor.validate(team, path, value))


async def list_history(parts: AdminParts, call: Call) -> HttpResponse:
    """Return the latest changes of a team's subtree."""
    team = call.parameters["team"]
    changes = await parts.editor.read_history(team)
    return answer_json(HistoryAnswer(team=team, changes=changes))


async def wait_for_revision(parts: AdminParts, call: Call) -> HttpResponse:
    """Wait until a revision is in force on every live instance."""
    revision = read_integer(
        call.query, "revision", default=-1, low=0, high=_MAX_REVISION
    )
    if revision < 0:
        raise RequestError("the query must give a revision")
    longest_ms = parts.settings.max_wait_ms
    timeout_ms = read_integer(
        call.query, "timeout_ms", default=longest_ms, low=0, high=longest_ms
    )
    report = await parts.backend.wait_in_force(revision=revision, timeout_ms=timeout_ms)
    if not report.is_in_force:
        raise OutcomeError(_describe_lag(report), code=ResultCode.STALE_REVISION)
    return answer_json(report)


def _describe_lag(report: InForceReport) -> str:
    behind = (
        f"{instance.instance_id} at {instance.revision}"
        for instance in report.instances
        if instance.revision < report.revision
    )
    return f"revision {report.revision} is not in force yet: " + ", ".join(behind)
