"""Settings of the inner protocol."""

import attrs

__all__ = ["InnerSettings"]


@attrs.frozen(kw_only=True)
class InnerSettings:
    """How an instance keeps its links to its peers.

    Parameters
    ----------
    heartbeat_interval_ms : float, optional
        Time between two heartbeats on a link, in ms.
    max_silent_intervals : int, optional
        Intervals without a byte after which a connection is cut and replaced.
    connect_timeout_ms : float, optional
        Longest time to connect and to exchange names, in ms.
    reconnect_min_ms : float, optional
        Delay before the first attempt after a link broke, in ms, before jitter.
    reconnect_max_ms : float, optional
        Longest delay between two attempts, in ms, before jitter.
    max_batch_frames : int, optional
        Most frames that leave in one batch.
    max_batch_bytes : int, optional
        Size after which a batch takes no further frame, in bytes.
    max_queued_frames : int, optional
        Frames waiting for one peer after which a further call is refused.
    max_queued_bytes : int, optional
        Bytes waiting for one peer after which a further call is refused.
    max_calls_in_progress : int, optional
        Calls from one peer that are handled at once; a further one is refused.
    """

    heartbeat_interval_ms: float = 500.0
    max_silent_intervals: int = 4
    connect_timeout_ms: float = 1_000.0
    reconnect_min_ms: float = 50.0
    reconnect_max_ms: float = 2_000.0
    max_batch_frames: int = 256
    max_batch_bytes: int = 65_536
    max_queued_frames: int = 4_096
    max_queued_bytes: int = 33_554_432
    max_calls_in_progress: int = 4_096
