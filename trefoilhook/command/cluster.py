"""``status``, ``drain``, ``gone`` and ``report burn``."""

from pathlib import Path

from cleo.helpers import argument, option

from trefoilhook.admin.backend import ClusterStatus
from trefoilhook.admin.cluster import DrainAnswer
from trefoilhook.burn import BurnReport
from trefoilhook.command.core import CommandSpec, Outcome, Session, Sheet, UsageError
from trefoilhook.results import ResultCode

__all__ = ["SPECS"]

_MS_PER_S = 1000.0


def _tell(is_true: bool) -> str:
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


async def _show_status(session: Session) -> Outcome:
    status = await session.client.fetch(ClusterStatus, "GET", ("v1", "status"))
    instances = Sheet(
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
                _tell(row.is_store_reachable),
                str(row.shard_count),
            )
            for row in status.instances
        ),
    )
    shards = Sheet(
        headers=("shard", "owner", "epoch"),
        rows=tuple(
            (row.shard_id, row.owner_instance_id or "(none)", str(row.epoch))
            for row in status.shards
        ),
    )
    sheets = (instances, shards) if session.get_option("shards") else (instances,)
    return Outcome(body=status, text=_show_store(status), sheets=sheets)


async def _drain(session: Session) -> Outcome:
    instance_id = str(session.get_argument("instance"))
    steps = ("v1", "instances", instance_id, "drain")
    answer = await session.client.fetch(DrainAnswer, "POST", steps)
    text = f"{answer.instance_id} hands its shards over and leaves"
    return Outcome(body=answer, text=text, code=ResultCode.ACCEPTED)


async def _declare_gone(session: Session) -> Outcome:
    instance_id = str(session.get_argument("instance"))
    steps = ("v1", "instances", instance_id, "gone")
    answer = await session.client.fetch(DrainAnswer, "POST", steps)
    text = f"nobody waits for {answer.instance_id} any more"
    return Outcome(body=answer, text=text, code=ResultCode.ACCEPTED)


async def _report_burn(session: Session) -> Outcome:
    # Drawing libraries take long to load; no other command should wait for them.
    from trefoilhook.burn.page import render_html, render_text

    team = session.get_option("team")
    query = {} if team is None else {"team": str(team)}
    report = await session.client.fetch(BurnReport, "GET", ("v1", "burn"), query=query)
    file = session.get_option("html")
    if file is None:
        return Outcome(body=report, text=render_text(report))
    try:
        Path(file).write_text(render_html(report), encoding="utf-8")
    except OSError as error:
        raise UsageError(f"{file}: {error.strerror}") from error
    return Outcome(body=report, text=f"written to {file}")


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
        description="Declares that an instance, surely powered off, is gone for good.",
        run=_declare_gone,
        examples=("trefoilhook gone 7c9e6679",),
        arguments=(argument("instance", "Id of the instance."),),
    ),
    CommandSpec(
        name="report burn",
        description="Shows service-level burn, merged over instances.",
        run=_report_burn,
        examples=(
            "trefoilhook report burn --team bookings",
            "trefoilhook report burn --html burn.html",
        ),
        options=(
            option("team", description="Only this team's services.", flag=False),
            option("html", description="Write a page with plots here.", flag=False),
        ),
    ),
)
