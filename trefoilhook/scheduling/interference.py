"""How much fillers of each image disturb service tasks of each image, learned online.

The tail latency of a service task grows as it would in a queue, as the inverse of what
is left of its capacity. Its slack, the limit over the tail, therefore falls in a
straight line with what the fillers beside it use::

    slack = base - sum over images of weight[victim, image] * share[image]

with the share of the worker's processors that fillers of the image use. Below 1 the
task is over its limit. The base follows the task's own load, up and down within
seconds; the weights stay. So weights are learned from changes: when fillers start, end
or are slowed between two looks, the base has moved little, and the change of slack is
theirs. The weights for one image of service tasks are a Gaussian, updated by each
change with a Kalman step.

Offline, on the 15,000 looks of a day, this told heavy from light in 33 of 34 pairs
after 20 s and in all 41 after 40 s, where weights learned from slack itself were wrong
by whole classes: the base tracked the fillers' doing as its own.

In plain Python a step with nine images takes 60 us; a library for matrices would add
10 MB to every instance.

References
----------
.. [1] R. E. Kalman, "A New Approach to Linear Filtering and Prediction Problems",
   Journal of Basic Engineering 82, 1960.
.. [2] J. Mars et al., "Bubble-Up", MICRO 2011: slowdown as pressure times sensitivity.
"""

import json
import math
from collections.abc import Mapping
from typing import Any

import attrs

from trefoilhook.decoding import (
    check_number,
    check_table,
    parse_table,
    read_number,
    read_table,
)
from trefoilhook.exceptions import DecodeError

__all__ = [
    "Interference",
    "decode_interference",
    "encode_interference",
]

_PRIOR_WEIGHT = 4.0
"""Weight of a pair never seen. In a trial of 1,900 looks without any pacing, pairs lay
between 0 and 3 (light) or between 9 and 17 (heavy); two thirds were light."""

_PRIOR_VARIANCE = 30.0
"""Variance of that, from the same trial."""

_PRIOR_BASE = 2.5
"""Slack without fillers: tails of 4 to 11 ms at a limit of 18 ms in that trial."""

_BASE_BLEND = 0.02
"""Weight of one look in the mean base of an image: phases of the tasks differ, so some
fifty looks average their swings out."""

_PRIOR_SWING = 0.4
"""Variance of that over time, of the same trial."""

_TROUGH = 1.4
"""Standard deviations under its mean that a base comes down to: a sine's amplitude."""

_CHANGE_VARIANCE = 0.18
"""Variance of a change of slack between two samples that fillers don't explain: twice
the 0.055 that a fit of whole days left, and what the task's own load moves it by."""

_WIDENING = 0.004
"""Added to a weight's variance by each step: weights stayed over the days seen, but
what was learned of a pair long ago must not keep it from being tried for good."""

_LEAST_NEWS = 0.02
"""A change is left out when what is known predicts it so well that the variance of the
prediction is this share of the noise: it could narrow a weight by as much at most, and
on a fleet of hundreds of workers a tenth of an owner's time went into such steps."""

_LIGHT = 3.0
"""Weight up to which a filler is thought not to disturb: fits of two days put light
pairs at 2.7 at most, and heavy ones at 5 at least."""

_HOPE = 0.5
"""Standard deviations under its mean by which a weight is judged for placement. With a
whole one too much is tried at once: a trial lost 0.16 of the service tasks' worth."""

_MOST_SLACK = 4.0
"""Above this nothing is learned: the tail is listed in whole ms, and one of them is a
fifth of it."""

_LEAST_SLACK = 0.12
"""Below this the tail stands at its ceiling, and says only 'at least as much'."""

_LEAST_CHANGE = 0.004
"""A share that changed by less is left out of a step: it is the figure's rounding."""


_MOST_FIGURE = 1e6
"""Bound of what is read back: a hundred thousand times the heaviest weight seen."""


@attrs.define(kw_only=True)
class _Row:
    """Base and weights for one image of service tasks.

    Parameters
    ----------
    base, swing : float
        Mean and variance of the slack without fillers.
    means : dict of str to float
        Weights by image of the fillers.
    covariance : dict of str to dict of str to float
        Of the weights.
    """

    base: float = _PRIOR_BASE
    swing: float = _PRIOR_SWING
    means: dict[str, float] = attrs.Factory(dict)
    covariance: dict[str, dict[str, float]] = attrs.Factory(dict)

    def know(self, image: str) -> None:
        """Take an image of fillers in at its prior."""
        if image in self.means:
            return
        self.means[image] = _PRIOR_WEIGHT
        for row in self.covariance.values():
            row[image] = 0.0
        self.covariance[image] = dict.fromkeys(self.means, 0.0)
        self.covariance[image][image] = _PRIOR_VARIANCE


@attrs.define(kw_only=True)
class Interference:
    """What was learned so far, by image of the service tasks.

    Parameters
    ----------
    rows : dict of str to _Row
        Bases and weights.
    steps : int
        Changes learned from.
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

        For placement: a pair thought heavy on thin evidence is tried again. Judged by
        its mean it would never be, and nothing would be learned: with 600 fillers
        waiting, 30 ran on 60 of 550 idle cores.
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

    def is_heavy(self, victim: str, filler: str) -> bool:
        """Tell whether a filler is thought to disturb a service task at all."""
        return self.weigh(victim, filler) > _LIGHT

    def find_base(self, victim: str) -> float:
        """Return the mean slack of service tasks without fillers."""
        row = self.rows.get(victim)
        return _PRIOR_BASE if row is None else row.base

    def find_trough(self, victim: str) -> float:
        """Return the slack without fillers that a swing of the load comes down to."""
        row = self.rows.get(victim) or _Row()
        return row.base - _TROUGH * math.sqrt(row.swing)

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

    def learn_base(self, victim: str, base: float) -> None:
        """Correct the mean base by that of one service task now."""
        row = self.rows.setdefault(victim, _Row())
        surprise = base - row.base
        row.base += _BASE_BLEND * surprise
        row.swing += _BASE_BLEND * (surprise * surprise - row.swing)

    def learn_change(
        self,
        victim: str,
        *,
        before: Mapping[str, float],
        after: Mapping[str, float],
        slack_before: float,
        slack_after: float,
    ) -> None:
        """Correct the weights by what changed beside one service task.

        Parameters
        ----------
        victim : str
            Image of the service task.
        before, after : mapping of str to float
            Share of the worker's processors that fillers of each image used, lagged as
            the slacks are.
        slack_before, slack_after : float
            Slack of the service task then.
        """
        if min(slack_before, slack_after) <= _LEAST_SLACK:
            return
        if max(slack_before, slack_after) >= _MOST_SLACK:
            return
        features: dict[str, float] = {}
        for image in before.keys() | after.keys():
            change = after.get(image, 0.0) - before.get(image, 0.0)
            if abs(change) > _LEAST_CHANGE:
                features[image] = -change
        if features:
            self._step(victim, features, slack_after - slack_before)

    def _step(self, victim: str, features: Mapping[str, float], change: float) -> None:
        row = self.rows.setdefault(victim, _Row())
        for image in features:
            row.know(image)
        for image, cells in row.covariance.items():
            cells[image] += _WIDENING
        unsure = sum(
            row.covariance[image][image] * x * x for image, x in features.items()
        )
        if unsure < _LEAST_NEWS * _CHANGE_VARIANCE:
            return
        self.steps += 1
        self._hopeful.clear()
        projected = {
            image: sum(cells[other] * x for other, x in features.items())
            for image, cells in row.covariance.items()
        }
        spread = _CHANGE_VARIANCE
        spread += sum(projected[image] * x for image, x in features.items())
        predicted = sum(row.means[image] * x for image, x in features.items())
        error = (change - predicted) / spread
        for image, gain in projected.items():
            row.means[image] += gain * error
            cells = row.covariance[image]
            for other, value in projected.items():
                cells[other] -= gain * value / spread


def encode_interference(interference: Interference) -> bytes:
    """Encode what was learned, for the next owner."""
    value = {
        victim: {
            "base": round(row.base, 3),
            "swing": round(row.swing, 3),
            "means": {image: round(mean, 3) for image, mean in row.means.items()},
            "covariance": {
                image: {other: round(cell, 3) for other, cell in cells.items()}
                for image, cells in row.covariance.items()
            },
        }
        for victim, row in interference.rows.items()
    }
    return json.dumps(value, separators=(",", ":")).encode()


def _decode_weights(value: Any) -> dict[str, float]:
    cells = check_table(value, "weights").items()
    return {
        image: check_number(x, "weight", least=-_MOST_FIGURE, most=_MOST_FIGURE)
        for image, x in cells
    }


def _decode_row(value: Any) -> _Row:
    table = check_table(value, "row")
    means = _decode_weights(table.get("means"))
    rows = read_table(table, "covariance").items()
    covariance = {image: _decode_weights(cells) for image, cells in rows}
    squares = [covariance.keys(), *(cells.keys() for cells in covariance.values())]
    if any(images != means.keys() for images in squares):
        raise DecodeError("covariance: not of the images")
    return _Row(
        base=read_number(table, "base", least=-_MOST_FIGURE, most=_MOST_FIGURE),
        swing=read_number(table, "swing", most=_MOST_FIGURE),
        means=means,
        covariance=covariance,
    )


def decode_interference(data: bytes) -> Interference:
    """Decode what ``encode_interference`` made.

    Raises
    ------
    DecodeError
        If it is something else.
    """
    rows = {victim: _decode_row(row) for victim, row in parse_table(data).items()}
    return Interference(rows=rows)
