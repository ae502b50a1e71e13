"""Settings of the job service."""

import attrs

from trefoilhook.settings import declare

__all__ = ["JobSettings"]


@attrs.frozen(kw_only=True)
class JobSettings:
    """Timeouts, intervals and limits of the job service."""

    worker_lease_ms: float = declare(
        default=15_000.0,
        unit="ms",
        description="Time to live of the lease on a worker. A worker whose lease "
        "lapses stops its tasks, so it is longer than a takeover takes.",
    )
    renew_interval_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Interval between renewals.",
    )
    give_up_ms: float = declare(
        default=7_500.0,
        unit="ms",
        description="How long renewals are tried without an answer before the "
        "worker is left to its lapse.",
    )
    commit_window_ms: float = declare(
        default=50.0,
        unit="ms",
        description="Shortest time between two writes of a shard to the store; "
        "records are gathered meanwhile.",
    )
    tick_ms: float = declare(
        default=100.0,
        unit="ms",
        description="Longest pause of a shard's task.",
    )
    least_pause_ms: float = declare(
        default=20.0,
        unit="ms",
        description="Least pause between two looks at the waiting jobs.",
    )
    react_interval_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Interval between reactions to usage reports.",
    )
    max_placed_per_step: int = declare(
        default=256,
        description="Waiting jobs that one step looks at.",
    )
    kept_ended: int = declare(
        default=10_000,
        description="Ended jobs that a shard remembers.",
    )

    @property
    def lease_expiry_ms(self) -> float:
        """Time after which an unreachable worker has stopped all tasks, in ms.

        A renewal in flight when contact was lost may arrive up to one lease duration
        later and extends the lease by another duration: two durations in total.
        """
        return 2.0 * self.worker_lease_ms
