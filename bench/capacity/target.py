"""The size aimed at, and figures set against it."""

import math

import attrs

__all__ = ["DAY_S", "TARGET", "US_PER_S", "Plan", "Row"]

DAY_S = 86_400.0
US_PER_S = 1e6


@attrs.frozen(kw_only=True)
class Target:
    """The size aimed at, in two years."""

    workers: float = 30_000.0
    jobs_a_day: float = 190_000.0
    starts_per_s: float = 20_000.0
    tasks: float = 316_000.0
    teams: float = 790.0
    changes_a_day: float = 48_000.0
    replaced_a_day: float = 2_500.0
    failure_domains: float = 23.0
    cpu: float = 0.011
    memory_bytes: float = 128e6
    bytes_per_s: float = 26e3
    store_writes_per_s: float = 300.0
    store_reads_per_s: float = 2_000.0
    store_value_bytes: float = 1e6
    change_ms: float = 4_000.0
    urgent_ms: float = 4_700.0
    split_ms: float = 3_600_000.0


TARGET = Target()


@attrs.frozen(kw_only=True)
class Plan:
    """How many instances and worker shards the processor time asks for.

    Parameters
    ----------
    cores : float
        Cores that the peak keeps busy in all.
    instances : int
        Instances, each one process on one core, half busy.
    """

    cores: float
    instances: int


@attrs.frozen(kw_only=True)
class Row:
    """One figure at the size aimed at.

    Parameters
    ----------
    role : str
        Who pays for it.
    what : str
        What it is.
    sum : str
        The arithmetic.
    value : float
        The result.
    unit : str
        Its unit.
    limit : float
        What it must stay under; infinite when nothing limits it.
    """

    role: str
    what: str
    sum: str
    value: float
    unit: str
    limit: float = math.inf

    @property
    def fits(self) -> bool:
        """Whether the figure stays under its limit."""
        return self.value <= self.limit
