"""How much fillers of each image disturb service tasks of each image, learned online.

The strain of a service task is the logarithm of its tail latency, scaled so that 0 is
an undisturbed tail and 1 its limit. It is modelled as a sum over the fillers beside it
of a weight for the pair of images, times the share of the worker's processors that they
use. The weights for one image of service tasks are a Gaussian, updated by each look
with a Kalman step; between looks it widens again, as pairs change.

In plain Python a step with nine images takes 60 us, at some 60 steps a second for 24
workers; a library for matrices would add 10 MB to every instance.

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
.. [2] J. Mars et al., "Bubble-Up", MICRO 2011: slowdown as pressure times sensitivity.
"""

import math
from collections.abc import Mapping

import attrs

__all__ = ["Interference", "measure_strain"]

_PRIOR_MEAN = 5.0
"""Weight of a pair never seen. In a trial of 1,900 looks without any pacing, pairs lay
between 0 and 3 (light) or between 8 and 18 (heavy); two thirds were light."""

_PRIOR_VARIANCE = 36.0
"""Variance of that, from the same trial."""

_NOISE_VARIANCE = 0.3
"""Variance of a strain that no filler explains: a service task's own load swings."""

_WIDENING = 0.02
"""Added to a weight's variance by each step: within 600 steps, some 20 s on a worker,
what was learned counts half."""

_MOST_STRAIN = 3.0
"""Strain is cut here: past five times the limit a tail says only 'much too high'."""

_QUIET_SHARE = 0.55
"""Share of its limit that an undisturbed tail reaches: 11 ms of 18 in a trial."""


def measure_strain(tail_ms: float, limit_ms: float) -> float:
    """Scale a tail latency: 0 is undisturbed, 1 the limit."""
    quiet_ms = _QUIET_SHARE * limit_ms
    if tail_ms <= quiet_ms:
        return 0.0
    strain = math.log(tail_ms / quiet_ms) / math.log(1.0 / _QUIET_SHARE)
    return min(strain, _MOST_STRAIN)


@attrs.define(kw_only=True)
class _Row:
    """The weights for one image of service tasks."""

    means: dict[str, float] = attrs.Factory(dict)
    covariance: dict[str, dict[str, float]] = attrs.Factory(dict)

    def know(self, image: str) -> None:
        """Take an image of fillers in, at its prior."""
        if image in self.means:
            return
        self.means[image] = _PRIOR_MEAN
        for row in self.covariance.values():
            row[image] = 0.0
        self.covariance[image] = dict.fromkeys(self.means, 0.0)
        self.covariance[image][image] = _PRIOR_VARIANCE


@attrs.define(kw_only=True)
class Interference:
    """The weights learned so far, by image of the service tasks."""

    rows: dict[str, _Row] = attrs.Factory(dict)

    def weigh(self, victim: str, filler: str) -> float:
        """Return the strain that a filler on all of a worker would cause."""
        row = self.rows.get(victim)
        if row is None:
            return _PRIOR_MEAN
        return max(0.0, row.means.get(filler, _PRIOR_MEAN))

    def predict(self, victim: str, shares: Mapping[str, float]) -> float:
        """Predict the strain of a service task beside fillers.

        Parameters
        ----------
        victim : str
            Image of the service task.
        shares : mapping of str to float
            Share of the worker's processors that fillers of each image use.
        """
        return sum(self.weigh(victim, image) * x for image, x in shares.items())

    def learn(self, victim: str, shares: Mapping[str, float], strain: float) -> None:
        """Correct the weights by one look at one service task."""
        row = self.rows.setdefault(victim, _Row())
        for image in shares:
            row.know(image)
        projected: dict[str, float] = {}
        for image, cells in row.covariance.items():
            cells[image] += _WIDENING
            projected[image] = sum(cells[other] * x for other, x in shares.items())
        spread = _NOISE_VARIANCE
        spread += sum(projected[image] * x for image, x in shares.items())
        predicted = sum(row.means[image] * x for image, x in shares.items())
        # A tail under its quiet share has strain 0 whatever lies below: no error.
        if strain <= 0.0 and predicted <= 0.0:
            return
        error = (strain - predicted) / spread
        for image, gain in projected.items():
            row.means[image] += gain * error
            cells = row.covariance[image]
            for other, value in projected.items():
                cells[other] -= gain * value / spread
