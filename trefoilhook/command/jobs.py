"""``job``, ``watcher``, ``service`` and ``explain``."""

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
from trefoilhook.command.core import CommandSpec, Outcome, Session, Sheet, UsageError
from trefoilhook.results import ResultCode
from trefoilhook.settings import FieldError, dump_json

__all__ = ["SPECS"]

TEAM_VARIABLE = "TREFOILHOOK_TEAM"

_FOLLOW_INTERVAL_MS = 500.0
_PAGE = 500
_MB = 1_000_000
_HEADERS = ("id", "name", "kind", "state", "worker", "attempt", "detail")


def _read_team(session: Session) -> str:
    team = session.get_option("team") or os.environ.get(TEAM_VARIABLE)
    if not team:
        raise UsageError(f"give --team, or set {TEAM_VARIABLE}")
    return str(team)


def _build_steps(session: Session, segment: str, *rest: str) -> tuple[str, ...]:
    return ("v1", "teams", _read_team(session), segment, *rest)


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


def _show_jobs(body: object, jobs: tuple[JobRecord, ...]) -> Outcome:
    rows = tuple(_build_row(job) for job in jobs)
    return Outcome(body=body, sheets=(Sheet(headers=_HEADERS, rows=rows),))


def _read_body(session: Session) -> JobBody:
    try:
        return JobBody(
            name=session.get_argument("name"),
            job_id=session.get_option("id") or str(uuid6.uuid7()),
            task_class=session.get_option("class") or "default",
            is_urgent=session.get_option("urgent"),
            is_idempotent=session.get_option("idempotent"),
            resources=JobResources(
                cores=session.read_number("cores", 1.0),
                memory_bytes=int(session.read_number("memory-mb", 256) * _MB),
                accelerators=int(session.read_number("accelerators", 0)),
            ),
            declared_run_ms=int(session.read_number("run-ms", 60_000)),
            payload=session.get_option("payload") or "",
        )
    except FieldError as error:
        raise UsageError(str(error)) from error


def _build_create(segment: str) -> CommandSpec:
    async def create(session: Session) -> Outcome:
        body = _read_body(session)
        job = await session.client.fetch(
            JobRecord,
            "POST",
            _build_steps(session, segment),
            body=json.dumps(dump_json(body)).encode(),
        )
        text = f"{job.job_id} is recorded durably; state: {job.state}"
        return Outcome(body=job, text=text, code=ResultCode.ACCEPTED)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} create",
        description=f"Records a {noun} durably. With the same --id it is the same one.",
        run=create,
        examples=(
            f"trefoilhook {noun} create night-roster --team bookings --cores 4 "
            "--memory-mb 2000 --run-ms 600000",
        ),
        arguments=(argument("name", "Name for people."),),
        options=(_TEAM, *_SIZE),
    )


def _build_list(segment: str) -> CommandSpec:
    async def list_all(session: Session) -> Outcome:
        limit = int(session.read_number("limit", _PAGE))
        jobs: tuple[JobRecord, ...] = ()
        after = ""
        while len(jobs) < limit:
            query = {"limit": str(min(_PAGE, limit - len(jobs))), "after": after}
            page = await session.client.fetch(
                JobListing, "GET", _build_steps(session, segment), query=query
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
        options=(_TEAM, _LIMIT),
    )


async def _fetch_job(session: Session, segment: str, *rest: str) -> JobRecord:
    job_id = str(session.get_argument("id"))
    steps = _build_steps(session, segment, job_id, *rest)
    return await session.client.fetch(JobRecord, "GET", steps)


def _build_show(segment: str) -> CommandSpec:
    async def show(session: Session) -> Outcome:
        job = await _fetch_job(session, segment)
        return _show_jobs(job, (job,))

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} show",
        description=f"Shows one {noun}.",
        run=show,
        examples=(f"trefoilhook {noun} show night-roster-7 --team bookings",),
        arguments=(_ID,),
        options=(_TEAM,),
    )


def _build_cancel(segment: str) -> CommandSpec:
    async def cancel(session: Session) -> Outcome:
        body = CancelBody(job_ids=tuple(session.get_argument("ids")))
        report = await session.client.fetch(
            CancelReport,
            "POST",
            _build_steps(session, segment, "cancel"),
            body=json.dumps(dump_json(body)).encode(),
        )
        rows = [(job_id, "cancelled", "") for job_id in report.cancelled]
        rows += [(row.job_id, "refused", row.detail) for row in report.refused]
        sheet = Sheet(headers=("id", "outcome", "detail"), rows=tuple(rows))
        code = ResultCode.ACCEPTED
        if report.refused:
            code = ResultCode.from_number(report.refused[0].result_number)
        return Outcome(body=report, sheets=(sheet,), code=code)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} cancel",
        description=f"Cancels {segment}; several at once are one call.",
        run=cancel,
        examples=(f"trefoilhook {noun} cancel night-roster-7 --team bookings",),
        arguments=(argument("ids", "Ids.", multiple=True),),
        options=(_TEAM,),
    )


def _build_follow(segment: str) -> CommandSpec:
    async def follow(session: Session) -> Outcome:
        while True:
            job = await _fetch_job(session, segment)
            if job.is_ended:
                return _show_end(job)
            session.show_progress(f"{job.job_id}: {job.state} {job.worker_id}")
            await session.clock.sleep_ms(_FOLLOW_INTERVAL_MS)

    noun = segment.removesuffix("s")
    return CommandSpec(
        name=f"{noun} follow",
        description=f"Waits for the end of one {noun} and ends with its result code.",
        run=follow,
        examples=(f"trefoilhook {noun} follow night-roster-7 --team bookings",),
        arguments=(_ID,),
        options=(_TEAM,),
    )


def _show_end(job: JobRecord) -> Outcome:
    try:
        code = ResultCode.from_number(job.result_number)
    except ValueError:
        message = f"{job.job_id} ended with the unknown code {job.result_number}"
        raise build_error(ResultCode.INTERNAL, message) from None
    text = "\n".join(part for part in (job.detail, job.result) if part)
    row = (job.job_id, job.state, f"{code.name} ({code.number})")
    sheet = Sheet(headers=("id", "state", "result"), rows=(row,))
    return Outcome(body=job, text=text, sheets=(sheet,), code=code)


async def _explain(session: Session) -> Outcome:
    job = await _fetch_job(session, "jobs", "explain")
    return Outcome(body=job, text=f"{job.job_id} is {job.state}.\n{job.explanation}")


def _build_size_options() -> tuple[Option, ...]:
    return (
        option("id", description="Own id; the same id is the same job.", flag=False),
        option("class", description="Tasks of one class are alike.", flag=False),
        option("cores", description="Processor, in cores. [1]", flag=False),
        option("memory-mb", description="Memory, in MB. [256]", flag=False),
        option("accelerators", description="Accelerators. [0]", flag=False),
        option("run-ms", description="Expected run time, in ms. [60000]", flag=False),
        option("payload", description="What the task gets on its start.", flag=False),
        option("urgent", description="Goes before others."),
        option("idempotent", description="May run again after an unknown outcome."),
    )


_TEAM = option("team", description=f"Name of the team. [{TEAM_VARIABLE}]", flag=False)
_LIMIT = option("limit", description=f"Most rows. [{_PAGE}]", flag=False)
_ID = argument("id", "Id of the job, watcher or service.")
_SIZE = _build_size_options()

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
        description="Tells why a job waits, or where it was placed and against what.",
        run=_explain,
        examples=("trefoilhook explain night-roster-7 --team bookings",),
        arguments=(_ID,),
        options=(_TEAM,),
    ),
)
