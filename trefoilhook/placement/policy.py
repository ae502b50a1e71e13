"""Weights and thresholds of the placement policy."""

from typing import Any

import attrs

__all__ = ["LATENCY_FIRST", "THROUGHPUT_FIRST", "Policy", "TeamQuota"]


def _define_setting(default: Any, unit: str, description: str) -> Any:
    return attrs.field(
        default=default, metadata={"unit": unit, "description": description}
    )


@attrs.frozen(kw_only=True, slots=True)
class TeamQuota:
    """Fair-share weight of a team.

    Parameters
    ----------
    team : str
        Name of the team.
    weight : float
        Weight of the team in the fair share of cores.
    """

    team: str
    weight: float


@attrs.frozen(kw_only=True)
class Policy:
    """Weights and thresholds of the placement decisions.

    Notes
    -----
    Each field carries its unit and description in its attrs metadata, from which the
    settings reference is generated.
    """

    tail_weight: float = _define_setting(
        2.0, "1", "Weight of service tail latency in the objective."
    )
    batch_weight: float = _define_setting(
        4.0, "1", "Value of starting a batch task, for a whole worker's cores."
    )
    eviction_weight: float = _define_setting(
        1.0, "1", "Weight of work lost when victims are chosen."
    )
    spread_weight: float = _define_setting(
        45.0, "1", "Weight of spreading a service class over domains and racks."
    )
    takeover_weight: float = _define_setting(
        20.0, "1", "Cost of a first service on a worker that batch had to itself."
    )
    mixing_weight: float = _define_setting(
        30.0, "1", "Cost of each other class of services on a service's worker."
    )
    service_fill: float = _define_setting(
        0.75, "ratio", "Part of a worker's cores that services share before others."
    )
    risk: float = _define_setting(
        0.5,
        "standard deviations",
        "Added to an uncertain slowdown; below 0 explores beside unharmed services.",
    )
    admit_ratio: float = _define_setting(
        0.15, "ratio", "Part of a service's bearable excess that placement may use."
    )
    sample_size: int = _define_setting(
        32, "workers", "Most workers that one decision looks at."
    )
    confirm_reports: int = _define_setting(
        2, "reports", "Reports in a row past the target before anything is done."
    )
    settle_ms: float = _define_setting(
        5_000.0, "ms", "After an action, reports measured sooner are not acted on."
    )
    throttle_step: float = _define_setting(
        0.5, "ratio", "What one throttling step multiplies a task's speed by."
    )
    throttle_floor: float = _define_setting(
        0.25, "ratio", "Speed below which a task is evicted instead of throttled."
    )
    release_ratio: float = _define_setting(
        0.6, "ratio", "Part of the bearable excess below which throttling is undone."
    )
    release_after_ms: float = _define_setting(
        60_000.0, "ms", "How long a worker is calm before a throttling step is undone."
    )
    evict_after_ms: float = _define_setting(
        60_000.0, "ms", "How long the throttling floor is tried before an eviction."
    )
    wave_fraction: float = _define_setting(
        0.3,
        "ratio",
        "Part of the workers past target from which nothing is evicted but throttled.",
    )
    spare_remaining_ms: float = _define_setting(
        120_000.0, "ms", "A task expected to end sooner than this is not evicted."
    )
    victim_rest_ms: float = _define_setting(
        900_000.0, "ms", "How long an evicted task is spared from another eviction."
    )
    task_eviction_limit: int = _define_setting(
        2, "evictions", "Evictions of one task for the sake of services."
    )
    team_evictions_per_hour: float = _define_setting(
        20.0, "evictions/h", "Evictions of one team for the sake of services."
    )
    earmark_ms: float = _define_setting(
        30_000.0, "ms", "How long freed room is kept for the urgent task it is for."
    )
    starvation_ms: float = _define_setting(
        600_000.0, "ms", "Waiting time that outweighs fair share and run time."
    )
    worker_failure_limit: int = _define_setting(
        3, "tasks", "Different tasks that fail in a row before a worker is quarantined."
    )
    job_failure_limit: int = _define_setting(
        3, "workers", "Different sound workers that a task fails on before refusal."
    )
    quarantine_ms: float = _define_setting(
        600_000.0, "ms", "First quarantine; doubled each time probation fails."
    )
    team_quotas: tuple[TeamQuota, ...] = _define_setting(
        (), "list", "Weights of the teams; a team that is not listed has weight 1."
    )

    def team_weight(self, team: str) -> float:
        """Return the fair-share weight of a team, 1 if none is configured."""
        for quota in self.team_quotas:
            if quota.team == team:
                return quota.weight
        return 1.0


LATENCY_FIRST = Policy()

THROUGHPUT_FIRST = Policy(
    tail_weight=0.1,
    batch_weight=8.0,
    eviction_weight=4.0,
    mixing_weight=0.0,
    service_fill=0.9,
    risk=0.0,
    admit_ratio=0.5,
    release_after_ms=30_000.0,
    evict_after_ms=180_000.0,
    team_evictions_per_hour=4.0,
    task_eviction_limit=1,
)
