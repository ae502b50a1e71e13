"""How often the waiting jobs of a shard are looked at."""

import math

import attrs

__all__ = ["PlacementPace"]

_ROUNDING_MS = 0.01


@attrs.define(kw_only=True)
class PlacementPace:
    """When to look at the waiting jobs again.

    Parameters
    ----------
    least_ms : float
        Least time between two looks, in ms.
    most_ms : float
        Most time between two looks, in ms: the passing of time alone changes the order
        of the queue, and reports change where there is room.

    Notes
    -----
    Guards against a core kept busy by workers that only renew: a look takes time with
    all jobs of the shard, and there is a step for each worker's renewal. It would show
    as slow requests on an instance that owns a large shard, idle or not. What can make
    room or add a job asks for a look; all that comes within ``least_ms`` shares one.
    """

    least_ms: float
    most_ms: float
    _is_wanted: bool = True
    _looked_ms: float = -math.inf

    def want(self) -> None:
        """Ask for a look: a job came, or room may have."""
        self._is_wanted = True

    def take(self, now_ms: float) -> bool:
        """Tell whether to look now, and count it as done if so."""
        is_due = self.compute_wait_ms(now_ms) <= 0.0
        if is_due:
            self._is_wanted = False
            self._looked_ms = now_ms
        return is_due

    def compute_wait_ms(self, now_ms: float) -> float:
        """Return how long to wait for the next look that is due, in ms."""
        pause_ms = self.least_ms if self._is_wanted else self.most_ms
        wait_ms = self._looked_ms + pause_ms - now_ms
        # A wait lost in the rounding of the clock would end before the look is due, and
        # the shard's task would go round without a pause.
        return wait_ms if wait_ms > _ROUNDING_MS else 0.0
