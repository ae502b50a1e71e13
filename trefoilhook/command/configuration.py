"""Commands ``config``: read and change the configuration of teams by path."""

import json
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from trefoilhook.admin.backend import InForceReport
from trefoilhook.admin.configuration import ConfigurationAnswer, HistoryAnswer
from trefoilhook.command.client import ApiError
from trefoilhook.command.core import (
    CommandContext,
    CommandOutput,
    CommandSpec,
    TableData,
    UsageError,
)
from trefoilhook.results import ResultCode
from trefoilhook.settings import InvalidSettingsError, parse_json

__all__ = ["SPECS"]

_MS_PER_S = 1000.0
_LONG_POLL_MS = 5_000.0
_ANSWER_MARGIN_MS = 10_000.0
_DEFAULT_WAIT_S = 60.0


def _split_path(context: CommandContext) -> tuple[str, str]:
    """Split a path into the team and the path inside the team's subtree."""
    team, _, path = str(context.get_argument("path")).strip("/").partition("/")
    if not team:
        raise UsageError("the path must begin with the name of a team")
    return team, path


def _build_segments(team: str, path: str) -> tuple[str, ...]:
    rest = tuple(path.split("/")) if path else ()
    return ("v1", "config", "teams", team, *rest)


def _build_query(context: CommandContext) -> dict[str, str]:
    revision = context.get_option("revision")
    return {} if revision is None else {"revision": str(revision)}


def _read_value(context: CommandContext) -> Any:
    """Read the value from the argument, from ``--file`` or from standard input."""
    text, file = context.get_argument("value"), context.get_option("file")
    if (text is None) == (file is None):
        raise UsageError("give either a value or --file")
    if file is not None:
        return parse_json(_read_file(file))
    try:
        return parse_json(text)
    except InvalidSettingsError:
        return text


def _read_file(name: str) -> str:
    if name == "-":
        return sys.stdin.read()
    try:
        return Path(name).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise UsageError(f"{name}: {error}") from error


def _show_value(answer: ConfigurationAnswer) -> CommandOutput:
    note = "" if answer.is_from_store else "  (in force here; the store is down)"
    text = f"revision {answer.revision}{note}\n{json.dumps(answer.value, indent=2)}"
    return CommandOutput(body=answer, text=text)


async def _get(context: CommandContext) -> CommandOutput:
    team, path = _split_path(context)
    segments = _build_segments(team, path)
    return _show_value(await context.client.fetch(ConfigurationAnswer, "GET", segments))


async def _set(context: CommandContext) -> CommandOutput:
    team, path = _split_path(context)
    answer = await context.client.fetch(
        ConfigurationAnswer,
        "PUT",
        _build_segments(team, path),
        query=_build_query(context),
        body=json.dumps(_read_value(context)).encode(),
    )
    return CommandOutput(body=answer, text=f"accepted at revision {answer.revision}")


async def _delete(context: CommandContext) -> CommandOutput:
    team, path = _split_path(context)
    answer = await context.client.fetch(
        ConfigurationAnswer,
        "DELETE",
        _build_segments(team, path),
        query=_build_query(context),
    )
    return CommandOutput(body=answer, text=f"deleted at revision {answer.revision}")


async def _validate(context: CommandContext) -> CommandOutput:
    team, path = _split_path(context)
    answer = await context.client.fetch(
        ConfigurationAnswer,
        "POST",
        ("v1", "config", "teams", team, "validate"),
        query={"path": path},
        body=json.dumps(_read_value(context)).encode(),
    )
    return CommandOutput(body=answer, text=f"valid against revision {answer.revision}")


def _format_time(at_ms: float) -> str:
    at = datetime.fromtimestamp(at_ms / _MS_PER_S, tz=UTC)
    return at.isoformat(timespec="seconds")


async def _show_history(context: CommandContext) -> CommandOutput:
    team = str(context.get_argument("team"))
    segments = ("v1", "config", "teams", team, "history")
    answer = await context.client.fetch(HistoryAnswer, "GET", segments)
    rows = tuple(
        (
            str(change.revision),
            _format_time(change.at_ms),
            change.author,
            change.action,
            change.path or "(whole)",
        )
        for change in answer.changes
    )
    headers = ("revision", "time", "author", "action", "path")
    return CommandOutput(body=answer, tables=(TableData(headers=headers, rows=rows),))


async def _wait(context: CommandContext) -> CommandOutput:
    timeout_ms = context.read_number("timeout", _DEFAULT_WAIT_S) * _MS_PER_S
    deadline_ms = context.clock.monotonic_ms() + timeout_ms
    while True:
        remaining_ms = max(0.0, deadline_ms - context.clock.monotonic_ms())
        poll_ms = min(remaining_ms, _LONG_POLL_MS)
        try:
            report = await _wait_once(context, poll_ms)
        except ApiError as error:
            if error.code is not ResultCode.STALE_REVISION or remaining_ms <= poll_ms:
                raise
            context.show_progress(error.detail.detail)
            continue
        text = f"revision {report.revision} is in force on {len(report.instances)}"
        return CommandOutput(body=report, text=f"{text} instances")


async def _wait_once(context: CommandContext, poll_ms: float) -> InForceReport:
    query = {
        "revision": str(context.get_argument("revision")),
        "timeout_ms": str(int(poll_ms)),
    }
    return await context.client.fetch(
        InForceReport,
        "GET",
        ("v1", "config", "wait"),
        query=query,
        timeout_ms=poll_ms + _ANSWER_MARGIN_MS,
    )


_PATH = argument("path", "Team and path, such as bookings/services/seat-check.")
_VALUE = argument("value", "JSON, or plain text.", optional=True)
_FILE = option(
    "file", "f", "Read the value from a JSON file; - is standard input.", flag=False
)
_REVISION = option(
    "revision",
    description="Apply the change only to this revision; 0 for a new team.",
    flag=False,
)

SPECS = (
    CommandSpec(
        name="config get",
        description="Shows the value at a path.",
        run=_get,
        examples=(
            "trefoilhook config get bookings",
            "trefoilhook config get bookings/services/seat-check --json",
        ),
        arguments=(_PATH,),
    ),
    CommandSpec(
        name="config set",
        description="Sets the value at a path; the whole subtree is checked first.",
        run=_set,
        examples=(
            "trefoilhook config set bookings/services/seat-check/timeout_ms 800",
            "trefoilhook config set bookings --file bookings.json --revision 41",
        ),
        arguments=(_PATH, _VALUE),
        options=(_FILE, _REVISION),
    ),
    CommandSpec(
        name="config delete",
        description="Deletes the value at a path; defaults apply from then on.",
        run=_delete,
        examples=("trefoilhook config delete bookings/services/seat-check/timeout_ms",),
        arguments=(_PATH,),
        options=(_REVISION,),
    ),
    CommandSpec(
        name="config validate",
        description="Checks a change without making it.",
        run=_validate,
        examples=("trefoilhook config validate bookings --file bookings.json",),
        arguments=(_PATH, _VALUE),
        options=(_FILE,),
    ),
    CommandSpec(
        name="config history",
        description="Shows the latest changes of a team's subtree.",
        run=_show_history,
        examples=("trefoilhook config history bookings",),
        arguments=(argument("team", "Name of the team."),),
    ),
    CommandSpec(
        name="config wait",
        description="Waits until a revision is in force on every live instance.",
        run=_wait,
        examples=("trefoilhook config wait 42 --timeout 10",),
        arguments=(argument("revision", "Revision to wait for."),),
        options=(
            option("timeout", description="Longest wait, in s. [60]", flag=False),
        ),
    ),
)
