"""Settings of the inner protocol."""

import attrs

from trefoilhook.settings import declare

__all__ = ["InnerSettings"]


@attrs.frozen(kw_only=True)
class InnerSettings:
    """How an instance keeps its links to its peers."""

    heartbeat_interval_ms: float = declare(
        default=500.0,
        unit="ms",
        description="Time between two heartbeats on a link.",
    )
    max_silent_intervals: int = declare(
        default=4,
        description="Intervals without a byte after which a connection is cut and "
        "replaced.",
    )
    connect_timeout_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Longest time to connect and to exchange names.",
    )
    reconnect_min_ms: float = declare(
        default=50.0,
        unit="ms",
        description="Delay before the first attempt after a link broke, before jitter.",
    )
    reconnect_max_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="Longest delay between two attempts, before jitter.",
    )
    max_batch_frames: int = declare(
        default=256,
        description="Most frames that leave in one batch.",
    )
    max_batch_bytes: int = declare(
        default=65_536,
        unit="bytes",
        description="Size after which a batch takes no further frame.",
    )
    max_queued_frames: int = declare(
        default=4_096,
        description="Frames waiting for one peer after which a further call is "
        "refused.",
    )
    max_queued_bytes: int = declare(
        default=33_554_432,
        unit="bytes",
        description="Bytes waiting for one peer after which a further call is refused.",
    )
    max_calls_in_progress: int = declare(
        default=4_096,
        description="Calls from one peer that are handled at once; a further one is "
        "refused.",
    )
