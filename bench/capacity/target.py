"""Target deployment size, and projections to it."""

import math

import attrs

__all__ = ["DAY_S", "TARGET", "US_PER_S", "Plan", "Projection"]

DAY_S = 86_400.0
US_PER_S = 1e6


@attrs.frozen(kw_only=True)
class Target:
    """Target deployment size in two years, with limits on the control overhead."""

    workers: float = 30_000.0
    jobs_per_day: float = 190_000.0
    starts_per_s: float = 20_000.0
    tasks: float = 316_000.0
    teams: float = 790.0
    changes_per_day: float = 48_000.0
    replacements_per_day: float = 2_500.0
    failure_domains: float = 23.0
    control_cores: float = 0.011
    control_memory_bytes: float = 128e6
    control_bytes_per_s: float = 26e3
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    store_value_bytes: float = 1e6
    change_propagation_ms: float = 4_000.0
    urgent_start_ms: float = 4_700.0
    partition_ms: float = 3_600_000.0


TARGET = Target()


@attrs.frozen(kw_only=True)
class Plan:
    """Number of instances and worker shards required by the processor time.

    Parameters
    ----------
    cores : float
        Total number of busy cores at peak load.
    instances : int
        Number of instances, each a process that uses half of a core.
    """

    cores: float
    instances: int


@attrs.frozen(kw_only=True)
class Projection:
    """A projected cost at the target size.

    Parameters
    ----------
    role : str
        Role that bears the cost.
    description : str
        Description of the cost.
    formula : str
        Calculation of the value.
    value : float
        Projected value.
    unit : str
        Unit of the value.
    limit : float
        Upper limit of the value; infinite without a limit.
    """

    role: str
    description: str
    formula: str
    value: float
    unit: str
    limit: float = math.inf

    @property
    def is_within_limit(self) -> bool:
        """Whether the value does not exceed its limit."""
        return self.value <= self.limit
