"""The slack of a service task over time, and what it would be without fillers.

The listed tail latency lags behind what causes it: a fit of 15,000 and of 31,000 looks
was best with fillers' shares smoothed with a time constant of 0.5 s (residual 0.235
against 0.264 without). So a listed slack is set against shares that lag alike. What is
left is the task's own base, which swings with its load: level and slope of it are
followed, so that a choice can be made for the time at which it takes effect.
"""

import math
from collections.abc import Mapping

import attrs

__all__ = ["LaggedShares", "SlackTrack", "measure_slack"]

_LAG_MS = 500.0
"""Time constant of the listed tail latency, in ms, from the fits named above."""

_MOST_SLACK = 5.0
"""Slack is cut here: far under the limit the tail says nothing about fillers."""

_SAMPLE_PAUSE_MS = 400.0
"""Least pause between two samples of a service task, in ms: looks may come within a few
ms, as tasks end, and little has changed between them."""

_TRUSTED_PAUSE_MS = 2000.0
"""Over a longer pause nothing is learned from a change of slack, in ms: the task's own
load swings within seconds."""

_LEVEL_GAIN = 0.5
_SLOPE_GAIN = 0.15
"""Shares of a surprise that level and slope of the base take over: the best for an
alpha-beta filter [1]_ at a noise of 0.23, a sample each half second, and a swing of 0.9
with a period of ten seconds.

.. [1] P. R. Kalata, "The Tracking Index", IEEE Trans. AES 20, 1984.
"""

_LONGEST_SLOPE_MS = 1000.0
"""A slope is followed for so long at most, in ms: a swing turns."""


def measure_slack(tail_ms: float, limit_ms: float) -> float:
    """Return how many times the limit is the tail; 1 is at the limit."""
    return min(_MOST_SLACK, limit_ms / max(tail_ms, 1e-3))


@attrs.define(kw_only=True)
class LaggedShares:
    """Share of a worker's processors that fillers of each image use, as tails lag."""

    shares: dict[str, float] = attrs.Factory(dict)
    _read_ms: float = float("-inf")

    def update(self, listed: Mapping[str, float], now_ms: float) -> None:
        """Take in the shares that a look listed."""
        kept = math.exp((self._read_ms - now_ms) / _LAG_MS)
        self._read_ms = now_ms
        self.shares = {
            image: kept * self.shares.get(image, 0.0)
            + (1.0 - kept) * listed.get(image, 0.0)
            for image in self.shares.keys() | listed.keys()
        }


@attrs.define(kw_only=True)
class SlackTrack:
    """The samples of one service task.

    Parameters
    ----------
    base : float
        Its slack without fillers, at the last sample.
    slope : float
        How fast that changes, per ms.
    sampled_ms : float
        When the last sample was taken, in ms.
    slack : float
        The listed slack then.
    shares : dict of str to float
        The lagged shares of fillers then.
    """

    base: float
    slope: float = 0.0
    sampled_ms: float
    slack: float
    shares: dict[str, float]

    def is_due(self, now_ms: float) -> bool:
        """Tell whether a new sample says more than the last."""
        return now_ms - self.sampled_ms >= _SAMPLE_PAUSE_MS

    def is_recent(self, now_ms: float) -> bool:
        """Tell whether the change since the last sample is the fillers' doing."""
        return now_ms - self.sampled_ms <= _TRUSTED_PAUSE_MS

    def sample(
        self, *, slack: float, base: float, shares: dict[str, float], now_ms: float
    ) -> None:
        """Take a sample in, with the base that it shows."""
        pause_ms = now_ms - self.sampled_ms
        predicted = self.predict_base(now_ms)
        surprise = base - predicted
        self.base = predicted + _LEVEL_GAIN * surprise
        self.slope += _SLOPE_GAIN * surprise / pause_ms
        if pause_ms > _TRUSTED_PAUSE_MS:
            self.base, self.slope = base, 0.0
        self.sampled_ms = now_ms
        self.slack = slack
        self.shares = shares

    def predict_base(self, at_ms: float) -> float:
        """Predict the slack without fillers."""
        ahead_ms = min(at_ms - self.sampled_ms, _LONGEST_SLOPE_MS)
        return min(_MOST_SLACK, self.base + self.slope * ahead_ms)
