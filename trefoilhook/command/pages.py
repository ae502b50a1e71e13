"""Generates the reference pages from the code; a test checks that they are current.

``python -m trefoilhook.command.pages`` writes them to ``docs/``.
"""

from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import attrs

from trefoilhook.admin.openapi import render_openapi
from trefoilhook.command.application import SPECS
from trefoilhook.command.exits import derive_exit_code
from trefoilhook.configuration import TeamConfiguration
from trefoilhook.daemon.settings import DaemonSettings
from trefoilhook.logs import Event
from trefoilhook.metrics import Instrument
from trefoilhook.results import ResultCode
from trefoilhook.settings import render_page

__all__ = ["DOCS", "PAGES", "Page"]

DOCS = Path(__file__).parents[2] / "docs"

_GENERATED_NOTE = (
    "Made from the code by `python -m trefoilhook.command.pages`; a test checks it."
)

_SETTINGS_HEAD = f"""# Settings

{_GENERATED_NOTE}
The file is one JSON object with a member for each section below. A setting that is left
out has its default. Unknown names, wrong types and impossible combinations are refused:
`trefoilhookd --check-settings` says why.
"""

_TEAM_HEAD = f"""# A team's configuration

{_GENERATED_NOTE}
What a team's subtree may hold; `trefoilhook config set TEAM/PATH VALUE` sets it, for
instance `trefoilhook config set bookings/services/seat-check/timeout_ms 800`. A
setting that is left out has its default. How changes work stands in
[operating/configuration.md](operating/configuration.md).
"""


@attrs.frozen(kw_only=True)
class Page:
    """A page generated from the code.

    Parameters
    ----------
    name : str
        Path relative to ``docs/``.
    render : callable
        Returns the text of the page.
    """

    name: str
    render: Callable[[], str]


def _build_table(headers: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [headers, ["---"] * len(headers), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def _render_result_codes() -> str:
    rows = [
        (
            str(code.number),
            f"`{code.name}`",
            code.outcome.value,
            "yes" if code.value.may_retry else "no",
            str(code.value.http_status),
            str(derive_exit_code(code)),
            code.value.meaning,
        )
        for code in ResultCode
    ]
    headers = ("number", "name", "was it run", "may retry", "HTTP", "exit", "meaning")
    return f"""# Result codes

{_GENERATED_NOTE}
Every answer carries one of these codes; numbers are stable. "Was it run" is proved:
"not run" means that nothing was or will be done, "unknown" that nobody can tell. "May
retry" says whether the same request may be sent again. "Exit" is the exit code of
`trefoilhook`; it ends with 1 for an unknown command, option or argument.

{_build_table(headers, rows)}
"""


def _render_events() -> str:
    rows = [
        (
            str(event.number),
            f"`{event.name}`",
            event.level.value,
            event.description,
        )
        for event in Event
    ]
    return f"""# Log events

{_GENERATED_NOTE}
Each line of the log is one JSON object with the number and name of an event, beside
ids of requests and jobs: at the top level on the users' platform, under `record.extra`
elsewhere. Numbers are stable. No event is written more than 100 times a second, and no
decision on a job, task, worker or shard (`DECISION_EVENTS`) more than 1,000 times; what
is over that is told as a count (1006).

{_build_table(("number", "name", "level", "meaning"), rows)}
"""


def _render_metrics() -> str:
    rows = [
        (
            f"`{row.name}`",
            row.kind.value,
            row.unit,
            ", ".join(f"`{name}`" for name in row.attributes),
            row.description,
        )
        for row in (instrument.value for instrument in Instrument)
    ]
    headers = ("name", "kind", "unit", "attributes", "meaning")
    return f"""# Metrics

{_GENERATED_NOTE}
`GET /metrics` of the admin API gives them in the Prometheus text format; dots are
underscores there. Attributes take few values; at most 200 series of an instrument are
told apart, the rest is counted as `other`.

{_build_table(headers, rows)}
"""


def _list_commands() -> Iterator[str]:
    for spec in SPECS:
        usage = [spec.name]
        usage += [
            f"{argument.name.upper()}{'...' if argument.is_list() else ''}"
            for argument in spec.arguments
        ]
        yield f"## `{' '.join(usage)}`\n\n{spec.description}\n"
        rows = [(f"`--{option.name}`", option.description) for option in spec.options]
        if rows:
            yield _build_table(("option", "meaning"), rows) + "\n"
        yield "\n".join(("```", *spec.examples, "```")) + "\n"


def _render_commands() -> str:
    listed = "\n".join(_list_commands())
    return f"""# Commands

{_GENERATED_NOTE}
Every command takes `--server`, `--token`, `--ca-file` and `--json`; the first three
can come from `TREFOILHOOK_SERVER`, `TREFOILHOOK_TOKEN` and `TREFOILHOOK_CA_FILE`. Exit
codes are in [RESULT_CODES.md](RESULT_CODES.md). `trefoilhook completions bash` (or
`zsh`, `fish`) prints the shell's completion. A value that begins with `-` goes after
`--`. `story`, `account`, `burn`, `evacuations`, `interruptions` and `idle-jobs` read
the logs of all processes instead (`--log FILE`, repeatable): see
[OPERATIONS.md](OPERATIONS.md).

{listed}"""


def _render_settings() -> str:
    return render_page(DaemonSettings, header=_SETTINGS_HEAD)


def _render_team() -> str:
    return render_page(TeamConfiguration, header=_TEAM_HEAD)


PAGES = (
    Page(name="COMMANDS.md", render=_render_commands),
    Page(name="EVENTS.md", render=_render_events),
    Page(name="METRICS.md", render=_render_metrics),
    Page(name="RESULT_CODES.md", render=_render_result_codes),
    Page(name="SETTINGS.md", render=_render_settings),
    Page(name="TEAM_CONFIGURATION.md", render=_render_team),
    Page(name="openapi.json", render=render_openapi),
)


def _write_pages() -> None:
    for page in PAGES:
        (DOCS / page.name).write_text(page.render(), encoding="utf-8")


if __name__ == "__main__":
    _write_pages()
