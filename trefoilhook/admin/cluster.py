"""Operations on the instances, and what balancers and collectors of metrics ask."""

import attrs

from trefoilhook.admin.calls import AdminParts, Call, answer_json
from trefoilhook.admin.errors import answer_code
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
    """The instance answers."""

    is_healthy: bool = True


@attrs.frozen(kw_only=True)
class DrainAnswer:
    """The instance that is leaving."""

    instance_id: str


async def read_status(parts: AdminParts, call: Call) -> HttpResponse:
    """Return instances, shards, revision in force and health of the store."""
    return answer_json(await parts.backend.read_status())


async def drain_instance(parts: AdminParts, call: Call) -> HttpResponse:
    """Make an instance hand over its shards and leave."""
    instance_id = call.parameters["instance_id"]
    await parts.backend.drain_instance(instance_id)
    return answer_json(DrainAnswer(instance_id=instance_id), code=ResultCode.ACCEPTED)


async def declare_gone(parts: AdminParts, call: Call) -> HttpResponse:
    """Take an operator's word that an instance will never act again."""
    instance_id = call.parameters["instance_id"]
    await parts.backend.declare_gone(instance_id)
    return answer_json(DrainAnswer(instance_id=instance_id), code=ResultCode.ACCEPTED)


async def read_burn(parts: AdminParts, call: Call) -> HttpResponse:
    """Return the report on service-level burn, of one team or of all."""
    team = call.query.get("team")
    if team is None:
        team = call.operator.team
    elif not call.operator.covers(team):
        message = "the token does not cover this team"
        raise RequestError(message, code=ResultCode.FORBIDDEN)
    return answer_json(await parts.backend.read_burn(team=team))


async def check_health(parts: AdminParts, call: Call) -> HttpResponse:
    """Tell that the instance runs."""
    return answer_json(HealthAnswer())


async def check_readiness(parts: AdminParts, call: Call) -> HttpResponse:
    """Tell whether a balancer should send to this instance."""
    report = parts.backend.check_ready()
    if not report.is_ready:
        return answer_code(ResultCode.SHUTTING_DOWN, report.reason)
    return answer_json(report)


async def read_metrics(parts: AdminParts, call: Call) -> HttpResponse:
    """Return the metrics in the Prometheus text format."""
    headers = (("content-type", _METRICS_TYPE),)
    return HttpResponse(
        status=200, headers=headers, body=parts.backend.render_metrics()
    )
