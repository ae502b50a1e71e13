"""Lookups in the configuration in force, for the request path and the jobs."""

import math

from trefoilhook.configuration import ConfigurationView, Objective
from trefoilhook.placement import Resources
from trefoilhook.requests import ServiceSettings, TeamView, TokenCheckResult

__all__ = ["build_team_view", "find_objective", "find_quota"]

_UNLIMITED = 1 << 62


def build_team_view(view: ConfigurationView) -> TeamView:
    """Build the view of the teams that the request service uses."""

    def find_service(team: str, service: str) -> ServiceSettings | None:
        configuration = view.get_team(team)
        declared = configuration and configuration.services.get(service)
        if not declared:
            return None
        return ServiceSettings(
            is_idempotent=declared.is_idempotent,
            timeout_ms=declared.timeout_ms,
            max_queue=declared.max_queue,
        )

    def get_quota_per_s(team: str) -> float:
        configuration = view.get_team(team)
        if configuration is None or configuration.quota.requests_per_s is None:
            return math.inf
        return configuration.quota.requests_per_s

    def check_token(team: str, token: str) -> TokenCheckResult:
        configuration = view.get_team(team)
        if configuration is not None and configuration.tokens.covers_caller(token):
            return TokenCheckResult.ALLOWED
        for other in view.list_teams():
            known = view.get_team(other)
            if known is not None and known.tokens.covers_caller(token):
                return TokenCheckResult.FORBIDDEN
        return TokenCheckResult.UNKNOWN

    return TeamView(
        find_service=find_service,
        get_quota_per_s=get_quota_per_s,
        check_token=check_token,
    )


def find_quota(view: ConfigurationView, team: str) -> Resources | None:
    """Return the resource quota of all tasks of a team, or None for no limit."""
    configuration = view.get_team(team)
    if configuration is None:
        return None
    quota = configuration.quota
    if quota.cores is quota.memory_bytes is quota.accelerators is None:
        return None
    return Resources(
        cores=math.inf if quota.cores is None else quota.cores,
        memory_bytes=_UNLIMITED if quota.memory_bytes is None else quota.memory_bytes,
        accelerators=_UNLIMITED if quota.accelerators is None else quota.accelerators,
    )


def find_objective(
    view: ConfigurationView, team: str, service: str
) -> Objective | None:
    """Return the service-level objective of a service, or None if it is unknown."""
    configuration = view.get_team(team)
    declared = configuration and configuration.services.get(service)
    return declared.objective if declared else None
