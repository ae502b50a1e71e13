"""Commands ``job``, ``watcher``, ``service`` and ``explain``."""

import json
import os

import uuid6
from cleo.helpers import argument, option
from cleo.io.inputs.option import Option

from trefoilhook.admin.backend import (
    CancelReport,
    JobBody,
    JobListing,
    JobRecord,
    JobResources,
)
from trefoilhook.admin.jobs import CancelBody
from trefoilhook.command.client import build_error
from trefoilhook.command.core import (
    CommandContext,
    CommandOutput,
    CommandSpec,
    TableData,
    UsageError,
)
from trefoilhook.results import ResultCode
from trefoilhook.settings import FieldError, dump_json

__all__ = ["SPECS"]

TEAM_VARIABLE = "TREFOILHOOK_TEAM"

_POLL_INTERVAL_MS = 500.0
_PAGE_SIZE = 500
_MB = 1_000_000
_HEADERS = ("id", "name", "kind", "state", "worker", "attempt", "detail")


def _read_team(context: CommandContext) -> str:
    team = context.get_option("team") or os.environ.get(TEAM_VARIABLE)
    if not team:
        raise UsageError(f"give --team, or set {TEAM_VARIABLE}")
    return str(team)


def _build_segments(
    context: CommandContext, segment: str, *rest: str
) -> tuple[str, ...]:
    return ("v1", "teams", _read_team(context), segment, *rest)


def _build_row(job: JobRecord) -> tuple[str, ...]:
    attempt = f"{job.attempt_epoch}.{job.attempt_sequence}"
    return (
        job.job_id,
        job.name,
        job.kind,
        job.state,
        job.worker_id,
        attempt if job.attempt_sequence else "",
        job.detail,
    )


def _show_jobs(body: object, jobs: tuple[JobRecord, ...]) -> CommandOutput:
    rows = tuple(_build_row(job) for job in jobs)
    return CommandOutput(body=body, tables=(TableData(headers=_HEADERS, rows=rows),))


def _read_body(context: CommandContext) -> JobBody:
    try:
        return JobBody(
            name=context.get_argument("name"),
            job_id=context.get_option("id") or str(uuid6.uuid7()),
            task_class=context.get_option("class") or "default",
            is_urgent=context.get_option("urgent"),
            is_idempotent=context.get_option("idempotent"),
            resources=JobResources(
                cores=context.read_number("cores", 1.0),
                memory_bytes=int(context.read_number("memory-mb", 256) * _MB),
                accelerators=int(context.read_number("accelerators", 0)),
            ),
            declared_run_ms=int(context.read_number("run-ms", 60_000)),
            payload=context.get_option("payload") or "",
        )
    except FieldError as error:
        raise UsageError(str(error)) from error


def _build_create(segment: str) -> CommandSpec:
    async def create(context: CommandContext) -> CommandOutput:
        body = _read_body(context)
        job = await context.client.fetch(
            JobRecord,
            "POST",
            _build_segments(context, segment),
            body=json.dumps(dump_json(body)).encode(),
        )
        text = f"{job.job_id} is recorded durably; state: {job.state}"
        return CommandOutput(body=job, text=text, code=ResultCode.ACCEPTED)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} create",
        description=f"Records a {noun} durably; idempotent if --id is given.",
        run=create,
        examples=(
            f"trefoilhook {noun} create night-roster --team bookings --cores 4 "
            "--memory-mb 2000 --run-ms 600000",
        ),
        arguments=(argument("name", "Display name."),),
        options=(_TEAM_OPTION, *_CREATE_OPTIONS),
    )


def _build_list(segment: str) -> CommandSpec:
    async def list_all(context: CommandContext) -> CommandOutput:
        limit = int(context.read_number("limit", _PAGE_SIZE))
        jobs: tuple[JobRecord, ...] = ()
        after = ""
        while len(jobs) < limit:
            query = {"limit": str(min(_PAGE_SIZE, limit - len(jobs))), "after": after}
            page = await context.client.fetch(
                JobListing, "GET", _build_segments(context, segment), query=query
            )
            jobs += page.jobs
            after = page.next_after
            if not after:
                break
        return _show_jobs(JobListing(jobs=jobs, next_after=after), jobs)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} list",
        description=f"Lists the team's {segment}.",
        run=list_all,
        examples=(f"trefoilhook {noun} list --team bookings --limit 20",),
        options=(_TEAM_OPTION, _LIMIT_OPTION),
    )


async def _fetch_job(context: CommandContext, segment: str, *rest: str) -> JobRecord:
    job_id = str(context.get_argument("id"))
    segments = _build_segments(context, segment, job_id, *rest)
    return await context.client.fetch(JobRecord, "GET", segments)


def _build_show(segment: str) -> CommandSpec:
    async def show(context: CommandContext) -> CommandOutput:
        job = await _fetch_job(context, segment)
        return _show_jobs(job, (job,))

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} show",
        description=f"Shows one {noun}.",
        run=show,
        examples=(f"trefoilhook {noun} show night-roster-7 --team bookings",),
        arguments=(_JOB_ID,),
        options=(_TEAM_OPTION,),
    )


def _build_cancel(segment: str) -> CommandSpec:
    async def cancel(context: CommandContext) -> CommandOutput:
        body = CancelBody(job_ids=tuple(context.get_argument("ids")))
        report = await context.client.fetch(
            CancelReport,
            "POST",
            _build_segments(context, segment, "cancel"),
            body=json.dumps(dump_json(body)).encode(),
        )
        rows = [(job_id, "cancelled", "") for job_id in report.cancelled]
        rows += [(row.job_id, "refused", row.detail) for row in report.refused]
        table = TableData(headers=("id", "outcome", "detail"), rows=tuple(rows))
        code = ResultCode.ACCEPTED
        if report.refused:
            code = ResultCode.from_number(report.refused[0].result_number)
        return CommandOutput(body=report, tables=(table,), code=code)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} cancel",
        description=f"Cancels {segment}; several ids are sent in one request.",
        run=cancel,
        examples=(f"trefoilhook {noun} cancel night-roster-7 --team bookings",),
        arguments=(argument("ids", "Ids.", multiple=True),),
        options=(_TEAM_OPTION,),
    )


def _build_follow(segment: str) -> CommandSpec:
    async def follow(context: CommandContext) -> CommandOutput:
        while True:
            job = await _fetch_job(context, segment)
            if job.is_ended:
                return _show_result(job)
            context.show_progress(f"{job.job_id}: {job.state} {job.worker_id}")
            await context.clock.sleep_ms(_POLL_INTERVAL_MS)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} follow",
        description=f"Waits for the end of one {noun}; exits with its result code.",
        run=follow,
        examples=(f"trefoilhook {noun} follow night-roster-7 --team bookings",),
        arguments=(_JOB_ID,),
        options=(_TEAM_OPTION,),
    )


def _show_result(job: JobRecord) -> CommandOutput:
    try:
        code = ResultCode.from_number(job.result_number)
    except ValueError:
        message = f"{job.job_id} ended with unknown result code {job.result_number}"
        raise build_error(ResultCode.INTERNAL, message) from None
    text = "\n".join(part for part in (job.detail, job.result) if part)
    row = (job.job_id, job.state, f"{code.name} ({code.number})")
    table = TableData(headers=("id", "state", "result"), rows=(row,))
    return CommandOutput(body=job, text=text, tables=(table,), code=code)


async def _explain(context: CommandContext) -> CommandOutput:
    job = await _fetch_job(context, "jobs", "explain")
    return CommandOutput(
        body=job, text=f"{job.job_id} is {job.state}.\n{job.explanation}"
    )


def _build_create_options() -> tuple[Option, ...]:
    return (
        option("id", description="Id of the job; generated if not given.", flag=False),
        option(
            "class",
            description="Task class; tasks of one class behave alike.",
            flag=False,
        ),
        option("cores", description="Processor cores. [1]", flag=False),
        option("memory-mb", description="Memory, in MB. [256]", flag=False),
        option("accelerators", description="Accelerators. [0]", flag=False),
        option("run-ms", description="Expected run time, in ms. [60000]", flag=False),
        option(
            "payload",
            description="Payload passed to the task at its start.",
            flag=False,
        ),
        option("urgent", description="Run before non-urgent ones."),
        option("idempotent", description="May run again after an unknown outcome."),
    )


_TEAM_OPTION = option(
    "team", description=f"Name of the team. [{TEAM_VARIABLE}]", flag=False
)
_LIMIT_OPTION = option(
    "limit", description=f"Maximum number of rows. [{_PAGE_SIZE}]", flag=False
)
_JOB_ID = argument("id", "Id of the job, watcher or service.")
_CREATE_OPTIONS = _build_create_options()

SPECS = (
    *(
        build(segment)
        for segment in ("jobs", "watchers", "services")
        for build in (
            _build_create,
            _build_list,
            _build_show,
            _build_cancel,
            _build_follow,
        )
    ),
    CommandSpec(
        name="explain",
        description="Shows why a job waits, or its placement and the alternatives.",
        run=_explain,
        examples=("trefoilhook explain night-roster-7 --team bookings",),
        arguments=(_JOB_ID,),
        options=(_TEAM_OPTION,),
    ),
)
