"""How much fillers of each image disturb service tasks of each image, learned online.

The tail latency of a service task grows as it would in a queue, as the inverse of what
is left of its capacity. Its slack, the limit over the tail, therefore falls in a
straight line with what the fillers beside it use::

    slack = base - sum over images of weight[victim, image] * share[image]

with the share of the worker's processors that fillers of the image use. Below 1 the
task is over its limit. The base follows the task's own load, up and down within
seconds; weights and mean bases for one image of service tasks are a Gaussian, updated
by each look with a Kalman step. Between looks it widens again, as pairs change.

In plain Python a step with nine images takes 60 us, at some 60 steps a second for 24
workers; a library for matrices would add 10 MB to every instance.

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
.. [2] J. Mars et al., "Bubble-Up", MICRO 2011: slowdown as pressure times sensitivity.
"""

import json
import math
from collections.abc import Mapping

import attrs

__all__ = [
    "Interference",
    "decode_interference",
    "encode_interference",
    "measure_slack",
]

_PRIOR_WEIGHT = 4.0
"""Weight of a pair never seen. In a trial of 1,900 looks without any pacing, pairs lay
between 0 and 3 (light) or between 9 and 17 (heavy); two thirds were light."""

_PRIOR_VARIANCE = 30.0
"""Variance of that, from the same trial."""

_PRIOR_BASE = 2.5
"""Slack without fillers: tails of 4 to 11 ms at a limit of 18 ms in that trial."""

_BASE_VARIANCE = 1.0
"""Variance of the mean base of an image."""

_NOISE_VARIANCE = 0.15
"""Variance of a slack that neither fillers nor the task's last base explain."""

_WIDENING = 0.02
"""Added to a weight's variance by each step: what was learned 1,500 steps ago, a minute
on ten workers, is forgotten."""

_HOPE = 0.5
"""Standard deviations under its mean by which a weight is judged for placement. With a
whole one too much is tried at once: a trial lost 0.16 of the service tasks' worth."""

_MOST_SLACK = 5.0
"""Slack is cut here: far under the limit the tail says nothing about fillers."""

_LEAST_SLACK = 0.1
"""Below this the tail stands at its ceiling, and says only 'at least as much'."""

_BASE = ""
"""Stands for the base among the images of fillers."""


def measure_slack(tail_ms: float, limit_ms: float) -> float:
    """Return how many times the limit is the tail; 1 is at the limit."""
    return min(_MOST_SLACK, limit_ms / max(tail_ms, 1e-3))


@attrs.define(kw_only=True)
class _Row:
    """Base and weights for one image of service tasks."""

    means: dict[str, float] = attrs.Factory(dict)
    covariance: dict[str, dict[str, float]] = attrs.Factory(dict)

    def know(self, image: str, mean: float, variance: float) -> None:
        """Take an image of fillers, or the base, in at its prior."""
        if image in self.means:
            return
        self.means[image] = mean
        for row in self.covariance.values():
            row[image] = 0.0
        self.covariance[image] = dict.fromkeys(self.means, 0.0)
        self.covariance[image][image] = variance


@attrs.define(kw_only=True)
class Interference:
    """What was learned so far, by image of the service tasks.

    Parameters
    ----------
    rows : dict of str to _Row
        Base and weights.
    steps : int
        Looks learned from.
    """

    rows: dict[str, _Row] = attrs.Factory(dict)
    steps: int = 0
    _hopeful: dict[tuple[str, str], float] = attrs.Factory(dict)

    def weigh(self, victim: str, filler: str) -> float:
        """Return the slack that a filler on all of a worker would cost."""
        row = self.rows.get(victim)
        if row is None:
            return _PRIOR_WEIGHT
        return max(0.0, row.means.get(filler, _PRIOR_WEIGHT))

    def weigh_hopefully(self, victim: str, filler: str) -> float:
        """Return the least weight that what was learned still allows.

        For placement: a pair thought heavy long ago, or on thin evidence, is tried
        again. Judged by its mean it would never be, and nothing would be learned: with
        600 fillers waiting, 30 ran on 60 of 550 idle cores.
        """
        known = self._hopeful.get((victim, filler))
        if known is not None:
            return known
        weight = _PRIOR_WEIGHT
        row = self.rows.get(victim)
        if row is not None and filler in row.means:
            deviation = math.sqrt(max(0.0, row.covariance[filler][filler]))
            weight = max(0.0, row.means[filler] - _HOPE * deviation)
        self._hopeful[victim, filler] = weight
        return weight

    def find_base(self, victim: str) -> float:
        """Return the mean slack of service tasks without fillers."""
        row = self.rows.get(victim)
        return _PRIOR_BASE if row is None else row.means[_BASE]

    def find_cost(self, victim: str, shares: Mapping[str, float]) -> float:
        """Return the slack that fillers cost a service task.

        Parameters
        ----------
        victim : str
            Image of the service task.
        shares : mapping of str to float
            Share of the worker's processors that fillers of each image use.
        """
        return sum(self.weigh(victim, image) * x for image, x in shares.items())

    def learn(self, victim: str, shares: Mapping[str, float], slack: float) -> None:
        """Correct base and weights by one look at one service task."""
        row = self.rows.setdefault(victim, _Row())
        row.know(_BASE, _PRIOR_BASE, _BASE_VARIANCE)
        features = {_BASE: 1.0}
        for image, share in shares.items():
            row.know(image, _PRIOR_WEIGHT, _PRIOR_VARIANCE)
            features[image] = -share
        predicted = sum(row.means[image] * x for image, x in features.items())
        if slack <= _LEAST_SLACK and predicted <= slack:
            return
        self.steps += 1
        self._hopeful.clear()
        projected: dict[str, float] = {}
        for image, cells in row.covariance.items():
            if image != _BASE:
                cells[image] += _WIDENING
            projected[image] = sum(cells[other] * x for other, x in features.items())
        spread = _NOISE_VARIANCE
        spread += sum(projected[image] * x for image, x in features.items())
        error = (slack - predicted) / spread
        for image, gain in projected.items():
            row.means[image] += gain * error
            cells = row.covariance[image]
            for other, value in projected.items():
                cells[other] -= gain * value / spread


def encode_interference(interference: Interference) -> bytes:
    """Encode what was learned, for the next owner."""
    value = {
        victim: {
            "means": {image: round(mean, 3) for image, mean in row.means.items()},
            "covariance": {
                image: {other: round(cell, 3) for other, cell in cells.items()}
                for image, cells in row.covariance.items()
            },
        }
        for victim, row in interference.rows.items()
    }
    return json.dumps(value, separators=(",", ":")).encode()


def decode_interference(data: bytes) -> Interference:
    """Decode what ``encode_interference`` made."""
    rows = {
        victim: _Row(means=row["means"], covariance=row["covariance"])
        for victim, row in json.loads(data).items()
    }
    return Interference(rows=rows)
