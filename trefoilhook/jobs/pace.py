"""Rate limiting of the placement passes of a shard."""

import math

import attrs

__all__ = ["PlacementTimer"]

_CLOCK_ROUNDING_MS = 0.01


@attrs.define(kw_only=True)
class PlacementTimer:
    """Schedules placement passes over the waiting jobs.

    Parameters
    ----------
    min_interval_ms : float
        Minimum interval between two passes, in ms.
    max_interval_ms : float
        Maximum interval between two passes, in ms. Passes are needed without a request
        because the queue order depends on waiting time, and usage reports change the
        estimates of free capacity.

    Notes
    -----
    The cost of a pass grows with the number of jobs in the shard, and every lease
    renewal of a worker triggers a step. A pass in each step would occupy a CPU core and
    slow down requests on an instance that owns a large shard, even an idle one.
    Therefore only events that free capacity or add jobs request a pass, and requests
    within ``min_interval_ms`` share one.
    """

    min_interval_ms: float
    max_interval_ms: float
    _is_requested: bool = True
    _last_pass_ms: float = -math.inf

    def request_pass(self) -> None:
        """Request a pass because a job was added or capacity may have been freed."""
        self._is_requested = True

    def start_if_due(self, now_ms: float) -> bool:
        """Return whether a pass is due, and mark it as started if so."""
        is_due = self.compute_wait_ms(now_ms) <= 0.0
        if is_due:
            self._is_requested = False
            self._last_pass_ms = now_ms
        return is_due

    def compute_wait_ms(self, now_ms: float) -> float:
        """Return the time until the next pass is due, in ms."""
        interval_ms = (
            self.min_interval_ms if self._is_requested else self.max_interval_ms
        )
        wait_ms = self._last_pass_ms + interval_ms - now_ms
        # A wait shorter than the rounding of the clock could end before the pass is
        # due, and the shard's task would busy-loop.
        return wait_ms if wait_ms > _CLOCK_ROUNDING_MS else 0.0
