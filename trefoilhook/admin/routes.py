"""The table of routes of the admin API."""

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

_TEAM = "/v1/config/teams/{team}"
_KINDS: tuple[tuple[str, Kind], ...] = (
    ("jobs", "batch"),
    ("watchers", "watcher"),
    ("services", "service"),
)

_REVISION = Parameter(
    name="revision",
    schema_type="integer",
    description="Revision that was edited, 0 for a new team; If-Match does the same.",
)
_WANTED_REVISION = Parameter(
    name="revision", schema_type="integer", description="Revision to wait for."
)
_TIMEOUT = Parameter(
    name="timeout_ms", schema_type="integer", description="Longest wait, in ms."
)
_PATH = Parameter(
    name="path", schema_type="string", description="Path inside the subtree."
)
_AFTER = Parameter(
    name="after", schema_type="string", description="Id after which the page begins."
)
_LIMIT = Parameter(
    name="limit", schema_type="integer", description="Most jobs of the page."
)
_ONE_TEAM = Parameter(
    name="team", schema_type="string", description="Only this team's services."
)


def _build_configuration_routes() -> tuple[Route, ...]:
    answer = configuration.ConfigurationAnswer
    special = (
        Route(
            method="GET",
            template="/v1/config/wait",
            scope=Scope.ANY,
            operation=configuration.wait_for_revision,
            summary="Wait until a revision is in force on every live instance.",
            query=(_WANTED_REVISION, _TIMEOUT),
            answer=InForceReport,
        ),
        Route(
            method="GET",
            template=f"{_TEAM}/history",
            scope=Scope.TEAM,
            operation=configuration.list_history,
            summary="The latest changes of a team's subtree, the newest first.",
            answer=configuration.HistoryAnswer,
        ),
        Route(
            method="POST",
            template=f"{_TEAM}/validate",
            scope=Scope.TEAM,
            operation=configuration.validate_configuration,
            summary="Check a change whole without making it.",
            query=(_PATH,),
            body=object,
            answer=answer,
        ),
    )
    whole_and_parts = tuple(
        route
        for template in (_TEAM, f"{_TEAM}/{{path...}}")
        for route in (
            Route(
                method="GET",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.get_configuration,
                summary="What stands at a path of a team's subtree.",
                answer=answer,
            ),
            Route(
                method="PUT",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.put_configuration,
                summary="Set the value at a path, checked whole before acceptance.",
                query=(_REVISION,),
                body=object,
                answer=answer,
            ),
            Route(
                method="DELETE",
                template=template,
                scope=Scope.TEAM,
                operation=configuration.delete_configuration,
                summary="Delete what stands at a path.",
                query=(_REVISION,),
                answer=answer,
            ),
        )
    )
    return special + whole_and_parts


def _build_job_routes(segment: str, kind: Kind) -> tuple[Route, ...]:
    many = f"/v1/teams/{{team}}/{segment}"
    one = f"{many}/{{job_id}}"
    return (
        Route(
            method="POST",
            template=many,
            scope=Scope.TEAM,
            operation=jobs.build_create_operation(kind),
            summary=f"Record a {kind} durably.",
            body=JobBody,
            answer=JobRecord,
        ),
        Route(
            method="GET",
            template=many,
            scope=Scope.TEAM,
            operation=jobs.build_list_operation(kind),
            summary=f"A page of the team's {segment}.",
            query=(_AFTER, _LIMIT),
            answer=JobListing,
        ),
        Route(
            method="POST",
            template=f"{many}/cancel",
            scope=Scope.TEAM,
            operation=jobs.cancel_jobs,
            summary=f"Cancel several {segment} at once.",
            body=jobs.CancelBody,
            answer=CancelReport,
        ),
        Route(
            method="GET",
            template=one,
            scope=Scope.TEAM,
            operation=jobs.build_show_operation(kind, is_explained=False),
            summary=f"One of the team's {segment}.",
            answer=JobRecord,
        ),
        Route(
            method="DELETE",
            template=one,
            scope=Scope.TEAM,
            operation=jobs.cancel_job,
            summary=f"Cancel one of the team's {segment}.",
            answer=CancelReport,
        ),
        Route(
            method="GET",
            template=f"{one}/explain",
            scope=Scope.TEAM,
            operation=jobs.build_show_operation(kind, is_explained=True),
            summary="Why it waits, or where it was placed and against what.",
            answer=JobRecord,
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
            answer=ClusterStatus,
        ),
        Route(
            method="POST",
            template="/v1/instances/{instance_id}/drain",
            scope=Scope.CLUSTER,
            operation=cluster.drain_instance,
            summary="Make an instance hand over its shards and leave.",
            answer=cluster.DrainAnswer,
        ),
        Route(
            method="POST",
            template="/v1/instances/{instance_id}/gone",
            scope=Scope.CLUSTER,
            operation=cluster.declare_gone,
            summary="Declare that an instance is gone for good, so that nobody waits.",
            answer=cluster.DrainAnswer,
        ),
        Route(
            method="GET",
            template="/v1/burn",
            scope=Scope.ANY,
            operation=cluster.read_burn,
            summary="Service-level burn; a team's token shows that team's services.",
            query=(_ONE_TEAM,),
            answer=BurnReport,
        ),
        Route(
            method="GET",
            template="/healthz",
            scope=Scope.PUBLIC,
            operation=cluster.check_health,
            summary="The instance runs.",
            answer=cluster.HealthAnswer,
        ),
        Route(
            method="GET",
            template="/readyz",
            scope=Scope.PUBLIC,
            operation=cluster.check_readiness,
            summary="Whether a balancer should send to this instance.",
            answer=ReadyReport,
        ),
        Route(
            method="GET",
            template="/metrics",
            scope=Scope.PUBLIC,
            operation=cluster.read_metrics,
            summary="Metrics in the Prometheus text format.",
        ),
    )


#: Every operation; of several templates that fit a path the first one counts.
ROUTES: tuple[Route, ...] = (
    *_build_configuration_routes(),
    *(route for row in _KINDS for route in _build_job_routes(*row)),
    *_build_cluster_routes(),
)
