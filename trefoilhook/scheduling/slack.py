"""Slack of service tasks over time, and its estimate without fillers.

The reported tail latency lags behind its cause: fits of 15,000 and of 31,000 polls are
best if the shares of fillers are smoothed with a time constant of 0.5 s (residual 0.235
instead of 0.264). A reported slack is therefore compared with shares that are delayed
in the same way. The remainder is the task's own base, which varies with its load. Its
level and slope are tracked, so that it can be predicted for the time at which a
decision takes effect.
"""

import math
from collections.abc import Mapping

import attrs

__all__ = ["LaggedShares", "SlackTrack", "measure_slack"]

_LAG_MS = 500.0
"""Time constant of the reported tail latency, in ms; see above for the fit."""

_MAX_SLACK = 5.0
"""Maximum slack: far below the limit, the tail contains no information on fillers."""

_MIN_SAMPLE_INTERVAL_MS = 400.0
"""Minimum interval between two samples of a service task: polls may follow within a few
ms when tasks end, with little change between them."""

_MAX_SAMPLE_GAP_MS = 2000.0
"""Maximum interval over which a change of slack is attributed to fillers, as the task's
own load varies within seconds."""

_LEVEL_GAIN = 0.5
_SLOPE_GAIN = 0.15
"""Gains for level and slope of the base: the optimum of an alpha-beta filter [1]_ for a
noise of 0.23, samples every 0.5 s, and a variation of 0.9 with a period of 10 s.

.. [1] P. R. Kalata, "The Tracking Index", IEEE Trans. AES 20, 1984."""

_MAX_EXTRAPOLATION_MS = 1000.0
"""Maximum time for which the slope is extrapolated, as the load is periodic."""


def measure_slack(tail_ms: float, limit_ms: float) -> float:
    """Return the ratio of latency limit to tail latency; 1 is at the limit."""
    return min(_MAX_SLACK, limit_ms / max(tail_ms, 1e-3))


@attrs.define(kw_only=True)
class LaggedShares:
    """Fraction of processors used by fillers of each image, delayed as tails are."""

    shares: dict[str, float] = attrs.Factory(dict)
    _read_ms: float = float("-inf")

    def update(self, listed: Mapping[str, float], now_ms: float) -> None:
        """Update with the shares reported by a poll."""
        decay = math.exp((self._read_ms - now_ms) / _LAG_MS)
        self._read_ms = now_ms
        self.shares = {
            image: decay * self.shares.get(image, 0.0)
            + (1.0 - decay) * listed.get(image, 0.0)
            for image in self.shares.keys() | listed.keys()
        }


@attrs.define(kw_only=True)
class SlackTrack:
    """Alpha-beta filter for the slack of one service task.

    Parameters
    ----------
    base : float
        Slack without fillers at the last sample.
    slope : float
        Rate of change of the base, per ms.
    sampled_ms : float
        Time of the last sample, in ms.
    slack : float
        Reported slack at the last sample.
    shares : dict of str to float
        Delayed shares of fillers at the last sample.
    """

    base: float
    slope: float = 0.0
    sampled_ms: float
    slack: float
    shares: dict[str, float]

    def is_due(self, now_ms: float) -> bool:
        """Return whether enough time has passed for a new sample."""
        return now_ms - self.sampled_ms >= _MIN_SAMPLE_INTERVAL_MS

    def is_recent(self, now_ms: float) -> bool:
        """Return whether fillers explain the change since the last sample."""
        return now_ms - self.sampled_ms <= _MAX_SAMPLE_GAP_MS

    def sample(
        self, *, slack: float, base: float, shares: dict[str, float], now_ms: float
    ) -> None:
        """Update the filter with a sample and the base derived from it."""
        gap_ms = now_ms - self.sampled_ms
        predicted = self.predict_base(now_ms)
        innovation = base - predicted
        self.base = predicted + _LEVEL_GAIN * innovation
        self.slope += _SLOPE_GAIN * innovation / gap_ms
        if gap_ms > _MAX_SAMPLE_GAP_MS:
            self.base, self.slope = base, 0.0
        self.sampled_ms = now_ms
        self.slack = slack
        self.shares = shares

    def predict_base(self, at_ms: float) -> float:
        """Predict the slack without fillers."""
        ahead_ms = min(at_ms - self.sampled_ms, _MAX_EXTRAPOLATION_MS)
        return min(_MAX_SLACK, self.base + self.slope * ahead_ms)
