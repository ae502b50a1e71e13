"""Settings of the request path."""

import attrs

from trefoilhook.settings import declare

__all__ = ["RequestSettings"]


@attrs.frozen(kw_only=True)
class RequestSettings:
    """Limits and timeouts of the request path."""

    shard_count: int = declare(
        default=64,
        description="Number of request shards; the same on all instances, never "
        "changed.",
    )
    clock_skew_ms: float = declare(
        default=500.0,
        unit="ms",
        description="How far the wall clocks of any two instances may be apart, "
        "steps included.",
    )
    key_ahead_ms: float = declare(
        default=500.0,
        unit="ms",
        description="How far the time in a key may lie ahead of its owner's wall "
        "clock.",
    )
    key_age_ms: float = declare(
        default=600_000.0,
        unit="ms",
        description="How long a key is remembered after it was minted.",
    )
    key_table_bytes: int = declare(
        default=4_000_000,
        unit="bytes",
        description="Most bytes of answers and records that one shard's table keeps.",
    )
    late_answer_ms: float = declare(
        default=30_000.0,
        unit="ms",
        description="How long an executor's answer is awaited past the caller's "
        "deadline.",
    )
    owner_wait_ms: float = declare(
        default=500.0,
        unit="ms",
        description="How long an entry looks for the owner of a key after the first "
        "refusal.",
    )
    answer_margin_ms: float = declare(
        default=20.0,
        unit="ms",
        description="How much earlier an owner gives up than the entry that waits for "
        "it.",
    )
    executor_waiting: int = declare(
        default=256,
        description="Most requests that wait at one owner for one service, whatever is "
        "configured.",
    )
    failure_limit: int = declare(
        default=5,
        description="Failures in a row that open an executor's circuit.",
    )
    circuit_open_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="First time that a circuit stays open; doubled at each failed "
        "probation.",
    )
    circuit_open_limit_ms: float = declare(
        default=30_000.0,
        unit="ms",
        description="Longest time that a circuit stays open.",
    )
    probation_successes: int = declare(
        default=3,
        description="Successes in a row that close a circuit.",
    )
    probe_interval_ms: float = declare(
        default=100.0,
        unit="ms",
        description="Time between looks at executors that need one.",
    )
    probe_timeout_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Longest wait for an executor's health answer.",
    )
    settle_ms: float = declare(
        default=250.0,
        unit="ms",
        description="Time after a lost request in which its bytes may still arrive.",
    )
    predecessor_hold_ms: float = declare(
        default=60_000.0,
        unit="ms",
        description="How long one slot of each executor is kept back for a predecessor "
        "that was not met; at least the time after which executors close "
        "idle connections.",
    )
    loads_interval_ms: float = declare(
        default=100.0,
        unit="ms",
        description="Time between two summaries of executors' loads.",
    )
    loads_age_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Age from which a peer's summary is not used.",
    )
    retry_ratio: float = declare(
        default=0.1,
        description="Retries allowed as a fraction of requests.",
    )
    retry_reserve: float = declare(
        default=10.0,
        description="Most retries saved up.",
    )
    quota_burst_s: float = declare(
        default=1.0,
        unit="s",
        description="Seconds of a team's quota that may be used in a burst.",
    )
    is_hedging: bool = declare(
        default=False,
        description="Whether slow idempotent requests are sent to a second executor.",
    )
    hedge_quantile: float = declare(
        default=95.0,
        description="Percentile of the run time after which a request counts as slow.",
    )
