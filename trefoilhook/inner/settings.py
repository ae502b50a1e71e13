"""Settings of the inter-instance protocol."""

import attrs

from trefoilhook.settings import check_range, declare

__all__ = ["InnerSettings"]

_DAY_MS = 86_400_000


@attrs.frozen(kw_only=True)
class InnerSettings:
    """Settings of the links between instances."""

    heartbeat_interval_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Time between two heartbeats on a link.",
        check=check_range(1, 60_000),
    )
    max_silent_intervals: int = declare(
        default=3,
        description="Heartbeat intervals without a byte after which a connection is "
        "cut and replaced.",
        check=check_range(2, 1_000),
    )
    connect_timeout_ms: float = declare(
        default=1_000.0,
        unit="ms",
        description="Longest time to connect to a peer and to exchange names.",
        check=check_range(1, 60_000),
    )
    reconnect_min_ms: float = declare(
        default=50.0,
        unit="ms",
        description="Delay before the first attempt after a link broke; up to half "
        "of it is taken off at random.",
        check=check_range(1, _DAY_MS),
    )
    reconnect_max_ms: float = declare(
        default=2_000.0,
        unit="ms",
        description="Longest delay between two attempts.",
        check=check_range(1, _DAY_MS),
    )
    max_batch_frames: int = declare(
        default=256,
        description="Most frames that leave in one batch.",
        check=check_range(1, 65_536),
    )
    max_batch_bytes: int = declare(
        default=65_536,
        unit="bytes",
        description="Size after which a batch takes no further frame.",
        check=check_range(1, 16_777_216),
    )
    max_queued_frames: int = declare(
        default=4_096,
        description="Frames waiting for one peer after which a further call is "
        "refused as not run.",
        check=check_range(1, 1_000_000),
    )
    max_queued_bytes: int = declare(
        default=33_554_432,
        unit="bytes",
        description="Bytes waiting for one peer after which a further call is "
        "refused as not run.",
        check=check_range(1, 1_073_741_824),
    )
    max_calls_in_progress: int = declare(
        default=4_096,
        description="Calls of one peer that are handled at once; a further one is "
        "refused as not run.",
        check=check_range(1, 1_000_000),
    )
