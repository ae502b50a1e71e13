"""Manually controlled time."""

import attrs

__all__ = ["ManualTime"]


@attrs.define(kw_only=True)
class ManualTime:
    """Time that changes only by `advance`, for simulations and tests.

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
        """Advance the time by ``duration_ms`` milliseconds."""
        if duration_ms < 0:
            raise ValueError(f"time can't go back: advance by {duration_ms:g} ms")
        self.now_ms += duration_ms
