"""A time that only moves when told to."""

import attrs

__all__ = ["ManualTime"]


@attrs.define(kw_only=True)
class ManualTime:
    """Time set by hand, for decision code and its tests.

    Parameters
    ----------
    now_ms : float, optional
        Monotonic time, in ms.
    epoch_ms : float, optional
        Wall time at monotonic time zero, in ms since the Unix epoch.
    """

    now_ms: float = 0.0
    epoch_ms: float = 1_750_000_000_000.0

    def advance(self, duration_ms: float) -> None:
        """Move the time forward by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError("time does not go back")
        self.now_ms += duration_ms
