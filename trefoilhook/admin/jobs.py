"""Operations on jobs, watchers and services."""

import attrs
import uuid6

from trefoilhook.admin.backend import (
    CancelReport,
    JobBody,
    JobQuery,
    JobSubmission,
    Kind,
)
from trefoilhook.admin.calls import (
    AdminContext,
    Call,
    Operation,
    build_json_response,
    read_body,
    read_integer,
)
from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpResponse
from trefoilhook.results import ResultCode
from trefoilhook.settings import declare

__all__ = [
    "CancelBody",
    "build_create_operation",
    "build_list_operation",
    "build_show_operation",
    "cancel_job",
    "cancel_jobs",
]

_MAX_PAGE_SIZE = 500
_DEFAULT_PAGE_SIZE = 100
_MAX_CANCEL_IDS = 1_000
_MAX_ID_CHARACTERS = 64


def _is_id_list(value: tuple[str, ...]) -> str | None:
    if 1 <= len(value) <= _MAX_CANCEL_IDS:
        return None
    return f"must contain 1 to {_MAX_CANCEL_IDS} ids"


@attrs.frozen(kw_only=True)
class CancelBody:
    """Request body that cancels several jobs at once."""

    job_ids: tuple[str, ...] = declare(
        description="Ids of the jobs to cancel.", check=_is_id_list
    )


def build_create_operation(kind: Kind) -> Operation:
    """Build the operation that records a job of a kind."""

    async def create(context: AdminContext, call: Call) -> HttpResponse:
        body = read_body(JobBody, call.request)
        submission = JobSubmission(
            job_id=body.job_id or str(uuid6.uuid7()),
            team=call.parameters["team"],
            kind=kind,
            body=body,
        )
        record = await context.backend.submit_job(submission)
        return build_json_response(record, code=ResultCode.ACCEPTED)

    return create


def build_list_operation(kind: Kind) -> Operation:
    """Build the operation that returns a page of the jobs of a kind."""

    async def list_page(context: AdminContext, call: Call) -> HttpResponse:
        after = call.query.get("after", "")
        if len(after) > _MAX_ID_CHARACTERS:
            raise RequestError("after: must be a job id")
        limit = read_integer(
            call.query, "limit", default=_DEFAULT_PAGE_SIZE, low=1, high=_MAX_PAGE_SIZE
        )
        query = JobQuery(
            team=call.parameters["team"], kind=kind, after_job_id=after, limit=limit
        )
        return build_json_response(await context.backend.list_jobs(query))

    return list_page


def build_show_operation(kind: Kind, *, is_explained: bool) -> Operation:
    """Build the operation that returns a job, with or without its explanation."""

    async def show(context: AdminContext, call: Call) -> HttpResponse:
        job_id = call.parameters["job_id"]
        record = await context.backend.read_job(
            team=call.parameters["team"], job_id=job_id, is_explained=is_explained
        )
        if record.kind != kind:
            message = f"{job_id} is not a {kind}"
            raise RequestError(message, code=ResultCode.NOT_FOUND)
        return build_json_response(record)

    return show


async def cancel_job(context: AdminContext, call: Call) -> HttpResponse:
    """Cancel one job."""
    job_id = call.parameters["job_id"]
    report = await _cancel(context, call, (job_id,))
    for refusal in report.refused:
        code = ResultCode.from_number(refusal.result_number)
        raise RequestError(refusal.detail or f"{job_id} was not cancelled", code=code)
    return build_json_response(report, code=ResultCode.ACCEPTED)


async def cancel_jobs(context: AdminContext, call: Call) -> HttpResponse:
    """Cancel several jobs; the response reports the result for each."""
    body = read_body(CancelBody, call.request)
    report = await _cancel(context, call, tuple(dict.fromkeys(body.job_ids)))
    return build_json_response(report, code=ResultCode.ACCEPTED)


async def _cancel(
    context: AdminContext, call: Call, job_ids: tuple[str, ...]
) -> CancelReport:
    team = call.parameters["team"]
    return await context.backend.cancel_jobs(team=team, job_ids=job_ids)
