"""Settings of the request path, each declared once."""

import attrs

__all__ = ["RequestSettings"]


@attrs.frozen(kw_only=True)
class RequestSettings:
    """Bounds and times of serving requests.

    Parameters
    ----------
    shard_count : int
        Number of request shards; the same on all instances, never changed.
    clock_skew_ms : float
        How far the wall clocks of any two instances may be apart, in ms, steps
        included.
    key_ahead_ms : float
        How far the time in a key may lie ahead of its owner's wall clock, in ms.
    key_age_ms : float
        How long a key is remembered after it was minted, in ms.
    key_table_bytes : int
        Most bytes of answers and records that one shard's table keeps.
    late_answer_ms : float
        How long an executor's answer is awaited past the caller's deadline, in ms.
    owner_wait_ms : float
        How long an entry looks for the owner of a key, in ms.
    answer_margin_ms : float
        How much earlier an owner gives up than the entry that waits for it, in ms.
    executor_waiting : int
        Most requests that wait at one owner for one service, whatever is configured.
    failure_limit : int
        Failures in a row that open an executor's circuit.
    circuit_open_ms : float
        First time that a circuit stays open, in ms; doubled at each failed probation.
    circuit_open_limit_ms : float
        Longest time that a circuit stays open, in ms.
    probation_successes : int
        Successes in a row that close a circuit.
    probe_interval_ms : float
        Time between looks at executors that need one, in ms.
    probe_timeout_ms : float
        Longest wait for an executor's health answer, in ms.
    settle_ms : float
        Time after a lost request in which its bytes may still arrive, in ms.
    predecessor_hold_ms : float
        How long one slot of each executor is kept back for a predecessor that was not
        met, in ms; at least the time after which executors close idle connections.
    loads_interval_ms : float
        Time between two summaries of executors' loads, in ms.
    loads_age_ms : float
        Age from which a peer's summary is not used, in ms.
    retry_ratio : float
        Retries allowed as a fraction of requests.
    retry_reserve : float
        Most retries saved up.
    quota_burst_s : float
        Seconds of a team's quota that may be used in a burst.
    is_hedging : bool
        Whether slow idempotent requests are sent to a second executor.
    hedge_quantile : float
        Percentile of the run time after which a request counts as slow.
    """

    shard_count: int = 64
    clock_skew_ms: float = 500.0
    key_ahead_ms: float = 500.0
    key_age_ms: float = 600_000.0
    key_table_bytes: int = 4_000_000
    late_answer_ms: float = 30_000.0
    owner_wait_ms: float = 500.0
    answer_margin_ms: float = 20.0
    executor_waiting: int = 256
    failure_limit: int = 5
    circuit_open_ms: float = 1_000.0
    circuit_open_limit_ms: float = 30_000.0
    probation_successes: int = 3
    probe_interval_ms: float = 100.0
    probe_timeout_ms: float = 1_000.0
    settle_ms: float = 250.0
    predecessor_hold_ms: float = 60_000.0
    loads_interval_ms: float = 100.0
    loads_age_ms: float = 1_000.0
    retry_ratio: float = 0.1
    retry_reserve: float = 10.0
    quota_burst_s: float = 1.0
    is_hedging: bool = False
    hedge_quantile: float = 95.0
