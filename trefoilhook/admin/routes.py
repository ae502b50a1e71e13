"""Table of the admin API's routes."""

from trefoilhook.admin import cluster, configuration, jobs
from trefoilhook.admin.backend import (
    CancelReport,
    ClusterStatus,
    InForceReport,
    JobBody,
    JobListing,
    JobRecord,
    Kind,
    ReadyReport,
)
from trefoilhook.admin.calls import Parameter, Route, Scope
from trefoilhook.burn.core import BurnReport

__all__ = ["ROUTES"]

_TEAM_PATH = "/v1/config/teams/{team}"
_KINDS: tuple[tuple[str, Kind], ...] = (
    ("jobs", "batch"),
    ("watchers", "watcher"),
    ("services", "service"),
)

_REVISION = Parameter(
    name="revision",
    schema_type="integer",
    description="Revision that the change is based on, 0 for a new team; or If-Match.",
)
_AWAITED_REVISION = Parameter(
    name="revision", schema_type="integer", description="Revision to wait for."
)
_TIMEOUT = Parameter(
    name="timeout_ms", schema_type="integer", description="Maximum wait, in ms."
)
_PATH = Parameter(
    name="path", schema_type="string", description="Path inside the subtree."
)
_AFTER = Parameter(
    name="after", schema_type="string", description="Id after which the page begins."
)
_LIMIT = Parameter(
    name="limit", schema_type="integer", description="Maximum number of jobs."
)
_TEAM_FILTER = Parameter(
    name="team", schema_type="string", description="Only this team's services."
)


def _build_configuration_routes() -> tuple[Route, ...]:
    response = configuration.ConfigurationAnswer
    fixed_routes = (
        Route(
            method="GET",
            template="/v1/config/wait",
            scope=Scope.ANY,
            operation=configuration.wait_for_revision,
            summary="Wait until a revision is in force on every live instance.",
            query=(_AWAITED_REVISION, _TIMEOUT),
            response=InForceReport,
        ),
        Route(
            method="GET",
            template=f"{_TEAM_PATH}/history",
            scope=Scope.TEAM,
            operation=configuration.list_history,
            summary="The latest changes of a team's subtree, the newest first.",
            response=configuration.HistoryAnswer,
        ),
        Route(
            method="POST",
            template=f"{_TEAM_PATH}/validate",
            scope=Scope.TEAM,
            operation=configuration.validate_configuration,
            summary="Validate a change without applying it.",
            query=(_PATH,),
            body=object,
            response=response,
        ),
    )
    value_routes = tuple(
        route
        for template in (_TEAM_PATH, f"{_TEAM_PATH}/{{path...}}")
        for route in (
            Route(
                method="GET",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.get_configuration,
                summary="Get the value at a path of a team's subtree.",
                response=response,
            ),
            Route(
                method="PUT",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.put_configuration,
                summary="Set the value at a path after validating the whole subtree.",
                query=(_REVISION,),
                body=object,
                response=response,
            ),
            Route(
                method="DELETE",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.delete_configuration,
                summary="Delete the value at a path.",
                query=(_REVISION,),
                response=response,
            ),
        )
    )
    return fixed_routes + value_routes


def _build_job_routes(segment: str, kind: Kind) -> tuple[Route, ...]:
    collection = f"/v1/teams/{{team}}/{segment}"
    item = f"{collection}/{{job_id}}"
    return (
        Route(
            method="POST",
            template=collection,
            scope=Scope.TEAM,
            operation=jobs.build_create_operation(kind),
            summary=f"Record a {kind} durably.",
            body=JobBody,
            response=JobRecord,
        ),
        Route(
            method="GET",
            template=collection,
            scope=Scope.TEAM,
            operation=jobs.build_list_operation(kind),
            summary=f"A page of the team's {segment}.",
            query=(_AFTER, _LIMIT),
            response=JobListing,
        ),
        Route(
            method="POST",
            template=f"{collection}/cancel",
            scope=Scope.TEAM,
            operation=jobs.cancel_jobs,
            summary=f"Cancel several {segment} at once.",
            body=jobs.CancelBody,
            response=CancelReport,
        ),
        Route(
            method="GET",
            template=item,
            scope=Scope.TEAM,
            operation=jobs.build_show_operation(kind, is_explained=False),
            summary=f"One of the team's {segment}.",
            response=JobRecord,
        ),
        Route(
            method="DELETE",
            template=item,
            scope=Scope.TEAM,
            operation=jobs.cancel_job,
            summary=f"Cancel one of the team's {segment}.",
            response=CancelReport,
        ),
        Route(
            method="GET",
            template=f"{item}/explain",
            scope=Scope.TEAM,
            operation=jobs.build_show_operation(kind, is_explained=True),
            summary="Explain why it waits, or its placement and the alternatives.",
            response=JobRecord,
        ),
    )


def _build_cluster_routes() -> tuple[Route, ...]:
    return (
        Route(
            method="GET",
            template="/v1/status",
            scope=Scope.ANY,
            operation=cluster.read_status,
            summary="Instances, shards, revision in force and health of the store.",
            response=ClusterStatus,
        ),
        Route(
            method="POST",
            template="/v1/instances/{instance_id}/drain",
            scope=Scope.CLUSTER,
            operation=cluster.drain_instance,
            summary="Ask an instance to hand over its shards and shut down.",
            response=cluster.DrainAnswer,
        ),
        Route(
            method="POST",
            template="/v1/instances/{instance_id}/gone",
            scope=Scope.CLUSTER,
            operation=cluster.declare_gone,
            summary="Declare an instance permanently stopped, so that no peer waits.",
            response=cluster.DrainAnswer,
        ),
        Route(
            method="GET",
            template="/v1/burn",
            scope=Scope.ANY,
            operation=cluster.read_burn,
            summary="Service-level burn; a team's token shows that team's services.",
            query=(_TEAM_FILTER,),
            response=BurnReport,
        ),
        Route(
            method="GET",
            template="/healthz",
            scope=Scope.PUBLIC,
            operation=cluster.check_health,
            summary="Liveness check.",
            response=cluster.HealthAnswer,
        ),
        Route(
            method="GET",
            template="/readyz",
            scope=Scope.PUBLIC,
            operation=cluster.check_readiness,
            summary="Readiness check for load balancers.",
            response=ReadyReport,
        ),
        Route(
            method="GET",
            template="/metrics",
            scope=Scope.PUBLIC,
            operation=cluster.read_metrics,
            summary="Metrics in the Prometheus text format.",
        ),
    )


#: All routes; the first template that matches a path takes precedence.
ROUTES: tuple[Route, ...] = (
    *_build_configuration_routes(),
    *(route for row in _KINDS for route in _build_job_routes(*row)),
    *_build_cluster_routes(),
)
