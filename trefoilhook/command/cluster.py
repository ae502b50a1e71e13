"""Commands ``status``, ``drain``, ``gone`` and ``report burn``."""

from pathlib import Path

from cleo.helpers import argument, option

from trefoilhook.admin.backend import ClusterStatus
from trefoilhook.admin.cluster import DrainAnswer
from trefoilhook.burn import BurnReport
from trefoilhook.command.core import (
    CommandContext,
    CommandOutput,
    CommandSpec,
    TableData,
    UsageError,
)
from trefoilhook.results import ResultCode

__all__ = ["SPECS"]

_MS_PER_S = 1000.0


def _format_bool(is_true: bool) -> str:
    return "yes" if is_true else "no"


def _show_store(status: ClusterStatus) -> str:
    store = status.store
    if store.is_reachable:
        health = f"reachable, revision {store.revision}"
    else:
        health = f"unreachable for {store.unreachable_for_ms / _MS_PER_S:.1f} s"
    return (
        f"answered by {status.instance_id}\nstore: {health}\n"
        f"revision in force everywhere: {status.revision_in_force}\n"
    )


async def _show_status(context: CommandContext) -> CommandOutput:
    status = await context.client.fetch(ClusterStatus, "GET", ("v1", "status"))
    instances = TableData(
        headers=(
            "instance",
            "failure domain",
            "region",
            "address",
            "state",
            "revision",
            "store",
            "shards",
        ),
        rows=tuple(
            (
                row.instance_id,
                row.failure_domain,
                row.region,
                row.address,
                row.state,
                str(row.applied_revision),
                _format_bool(row.is_store_reachable),
                str(row.shard_count),
            )
            for row in status.instances
        ),
    )
    shards = TableData(
        headers=("shard", "owner", "epoch"),
        rows=tuple(
            (row.shard_id, row.owner_instance_id or "(none)", str(row.epoch))
            for row in status.shards
        ),
    )
    tables = (instances, shards) if context.get_option("shards") else (instances,)
    return CommandOutput(body=status, text=_show_store(status), tables=tables)


async def _drain(context: CommandContext) -> CommandOutput:
    instance_id = str(context.get_argument("instance"))
    segments = ("v1", "instances", instance_id, "drain")
    answer = await context.client.fetch(DrainAnswer, "POST", segments)
    text = f"{answer.instance_id} hands its shards over and leaves"
    return CommandOutput(body=answer, text=text, code=ResultCode.ACCEPTED)


async def _declare_gone(context: CommandContext) -> CommandOutput:
    instance_id = str(context.get_argument("instance"))
    segments = ("v1", "instances", instance_id, "gone")
    answer = await context.client.fetch(DrainAnswer, "POST", segments)
    text = f"nobody waits for {answer.instance_id} any more"
    return CommandOutput(body=answer, text=text, code=ResultCode.ACCEPTED)


async def _report_burn(context: CommandContext) -> CommandOutput:
    # Imported here, as loading plotting libraries would slow other commands down.
    from trefoilhook.burn.page import render_html, render_text

    team = context.get_option("team")
    query = {} if team is None else {"team": str(team)}
    report = await context.client.fetch(BurnReport, "GET", ("v1", "burn"), query=query)
    file = context.get_option("html")
    if file is None:
        return CommandOutput(body=report, text=render_text(report))
    try:
        Path(file).write_text(render_html(report), encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    return CommandOutput(body=report, text=f"written to {file}")


SPECS = (
    CommandSpec(
        name="status",
        description="Shows instances, revision in force and health of the store.",
        run=_show_status,
        examples=("trefoilhook status --shards",),
        options=(option("shards", description="Also owner and epoch of each shard."),),
    ),
    CommandSpec(
        name="drain",
        description="Makes an instance hand over its shards and leave.",
        run=_drain,
        examples=("trefoilhook drain 7c9e6679",),
        arguments=(argument("instance", "Id of the instance."),),
    ),
    CommandSpec(
        name="gone",
        description="Declares an instance gone for good; it must be powered off.",
        run=_declare_gone,
        examples=("trefoilhook gone 7c9e6679",),
        arguments=(argument("instance", "Id of the instance."),),
    ),
    CommandSpec(
        name="report burn",
        description="Shows error-budget burn of services, merged across instances.",
        run=_report_burn,
        examples=(
            "trefoilhook report burn --team bookings",
            "trefoilhook report burn --html burn.html",
        ),
        options=(
            option("team", description="Only this team's services.", flag=False),
            option(
                "html",
                description="Write the report with plots to this HTML file.",
                flag=False,
            ),
        ),
    ),
)
