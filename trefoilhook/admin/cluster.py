"""Operations on instances, and end points for load balancers and metric scrapers."""

import attrs

from trefoilhook.admin.calls import AdminContext, Call, build_json_response
from trefoilhook.admin.errors import build_error_response
from trefoilhook.exceptions import RequestError
from trefoilhook.http import HttpResponse
from trefoilhook.results import ResultCode

__all__ = [
    "DrainAnswer",
    "HealthAnswer",
    "check_health",
    "check_readiness",
    "declare_gone",
    "drain_instance",
    "read_burn",
    "read_metrics",
    "read_status",
]

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


@attrs.frozen(kw_only=True)
class HealthAnswer:
    """Liveness of the instance; it is healthy whenever it answers."""

    is_healthy: bool = True


@attrs.frozen(kw_only=True)
class DrainAnswer:
    """Instance that was drained or declared gone."""

    instance_id: str


async def read_status(context: AdminContext, call: Call) -> HttpResponse:
    """Return instances, shards, revision in force and health of the store."""
    return build_json_response(await context.backend.read_status())


async def drain_instance(context: AdminContext, call: Call) -> HttpResponse:
    """Ask an instance to hand over its shards and shut down."""
    instance_id = call.parameters["instance_id"]
    await context.backend.drain_instance(instance_id)
    return build_json_response(
        DrainAnswer(instance_id=instance_id), code=ResultCode.ACCEPTED
    )


async def declare_gone(context: AdminContext, call: Call) -> HttpResponse:
    """Record an operator's declaration that an instance has stopped permanently."""
    instance_id = call.parameters["instance_id"]
    await context.backend.declare_gone(instance_id)
    return build_json_response(
        DrainAnswer(instance_id=instance_id), code=ResultCode.ACCEPTED
    )


async def read_burn(context: AdminContext, call: Call) -> HttpResponse:
    """Return the report on service-level burn of one team or of all teams."""
    team = call.query.get("team")
    if team is None:
        team = call.operator.team
    elif not call.operator.covers(team):
        message = "the token does not cover this team"
        raise RequestError(message, code=ResultCode.FORBIDDEN)
    return build_json_response(await context.backend.read_burn(team=team))


async def check_health(context: AdminContext, call: Call) -> HttpResponse:
    """Report that the instance is running."""
    return build_json_response(HealthAnswer())


async def check_readiness(context: AdminContext, call: Call) -> HttpResponse:
    """Report whether a load balancer should send requests to this instance."""
    report = context.backend.check_ready()
    if not report.is_ready:
        return build_error_response(ResultCode.SHUTTING_DOWN, report.reason)
    return build_json_response(report)


async def read_metrics(context: AdminContext, call: Call) -> HttpResponse:
    """Return the metrics in the Prometheus text format."""
    headers = (("content-type", _METRICS_TYPE),)
    return HttpResponse(
        status=200, headers=headers, body=context.backend.render_metrics()
    )
