"""Online model of how fillers of each image slow service tasks of each image.

Tail latency of a service task grows as in a queue, with the inverse of the capacity
that is left to it. Its slack (latency limit divided by tail latency) therefore falls
linearly with the processor time used by the fillers on the same worker::

    slack = base - sum over images of weight[victim, image] * share[image]

where ``share`` is the fraction of the worker's processors used by fillers of the image.
A slack below 1 means that the task exceeds its limit. The base follows the task's own
load and varies within seconds; the weights are constant. The weights are therefore
learned from changes: when fillers start, end or are slowed between two polls, the base
has barely moved and the change of slack is caused by them. The weights of one service
image have a Gaussian distribution that each change updates with a Kalman step.

Learning the weights from the slack itself instead of its changes gives wrong results,
as the base absorbs the effect of the fillers. Evaluated offline on 15,000 polls of one
day, learning from changes separated heavy from light in 33 of 34 pairs after 20 s and
in all 41 pairs after 40 s.

Plain Python is sufficient: a step with thirty images takes 40 us, and a matrix library
would add 10 MB to every instance.

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
    check_object,
    parse_object,
    read_number,
    read_object,
)
from trefoilhook.exceptions import DecodeError

__all__ = [
    "Interference",
    "decode_interference",
    "encode_interference",
]

_PRIOR_WEIGHT = 4.0
"""Weight of an unknown pair: observed pairs lie between 0 and 3 (light, two thirds of
them) or between 9 and 17 (heavy)."""

_PRIOR_VARIANCE = 30.0
"""Variance of the weight of an unknown pair."""

_PRIOR_BASE = 2.5
"""Slack without fillers before any observation: tails of 4 to 11 ms at a limit of 18
ms."""

_BASE_SMOOTHING = 0.02
"""Weight of one poll in the mean base of an image: tasks are out of phase, so that
about fifty polls average their variation out."""

_PRIOR_BASE_VARIANCE = 0.4
"""Variance of the base over time before any observation."""

_TROUGH_DEVIATIONS = 1.4
"""Standard deviations from the mean base to its minimum: the amplitude of a sine."""

_CHANGE_VARIANCE = 0.18
"""Variance of a change of slack between two samples that is not caused by fillers: the
0.055 of a fit over whole days, doubled, plus the effect of the task's own load."""

_PROCESS_VARIANCE = 0.004
"""Variance added to each weight by each step. Weights were constant over the days
observed, but an old estimate must not prevent a pair from ever being tried again."""

_MIN_VARIANCE_RATIO = 0.02
"""A change is skipped if the variance of its prediction is below this fraction of the
noise, as it could narrow a weight by no more than that. With hundreds of workers such
steps took a tenth of an owner's time."""

_MAX_LIGHT_WEIGHT = 3.0
"""Weight up to which a filler counts as not disturbing: over two days light pairs had
weights up to 2.7 and heavy pairs weights from 5."""

_OPTIMISM_DEVIATIONS = 0.5
"""Standard deviations subtracted from the mean weight for placement. With 1.0 too many
pairs are tried at the same time, which reduced the score of service tasks by 0.16."""

_MAX_SLACK = 4.0
"""No weight is learned above this slack: tails are reported in whole ms, and 1 ms is
then a fifth of the tail."""

_MIN_SLACK = 0.12
"""No weight is learned below this slack: the tail is saturated and only a lower
bound."""

_MIN_SHARE_CHANGE = 0.004
"""Smaller changes of a share are ignored, as they are rounding errors."""


_MAX_DECODED_VALUE = 1e6
"""Limit on decoded values: a hundred thousand times the heaviest weight observed."""


@attrs.define(kw_only=True)
class _VictimModel:
    """Base and weights of one image of service tasks.

    Parameters
    ----------
    base, swing : float
        Mean and variance of the slack without fillers.
    means : dict of str to float
        Mean weights by filler image.
    covariance : list of list of float
        Covariance of the weights, in the order of ``means``.
    numbers : dict of str to int
        Row of each filler image in the covariance.
    """

    base: float = _PRIOR_BASE
    swing: float = _PRIOR_BASE_VARIANCE
    means: dict[str, float] = attrs.Factory(dict)
    covariance: list[list[float]] = attrs.Factory(list)
    numbers: dict[str, int] = attrs.field(init=False)

    @numbers.default
    def _number_images(self) -> dict[str, int]:
        return {image: number for number, image in enumerate(self.means)}

    def add_image(self, image: str) -> int:
        """Return the row of a filler image; a new one has the prior distribution."""
        number = self.numbers.get(image)
        if number is None:
            number = self.numbers[image] = len(self.means)
            self.means[image] = _PRIOR_WEIGHT
            for cells in self.covariance:
                cells.append(0.0)
            self.covariance.append([0.0] * number + [_PRIOR_VARIANCE])
        return number

    def get_variance(self, number: int) -> float:
        """Return the variance of one weight."""
        return self.covariance[number][number]

    def add_variance(self, variance: float) -> None:
        """Add the same variance to each weight."""
        for number, cells in enumerate(self.covariance):
            cells[number] += variance


@attrs.define(kw_only=True)
class Interference:
    """Learned interference by image of the service tasks.

    Parameters
    ----------
    rows : dict of str to _Row
        Bases and weights.
    steps : int
        Number of changes learned from.
    """

    rows: dict[str, _VictimModel] = attrs.Factory(dict)
    steps: int = 0
    _optimistic_weights: dict[str, dict[str, float]] = attrs.Factory(dict)

    def _get_row(self, victim: str) -> _VictimModel:
        """Return the row of a service image; a new one has the prior distribution."""
        row = self.rows.get(victim)
        if row is None:
            row = self.rows[victim] = _VictimModel()
        return row

    def get_weight(self, victim: str, filler: str) -> float:
        """Return the slack lost beside a filler that uses a whole worker."""
        row = self.rows.get(victim)
        if row is None:
            return _PRIOR_WEIGHT
        return max(0.0, row.means.get(filler, _PRIOR_WEIGHT))

    def get_optimistic_weight(self, victim: str, filler: str) -> float:
        """Return a lower confidence bound of a weight, for placement.

        A pair that is considered heavy on little evidence is thus tried again. With the
        mean it would never be tried and nothing would be learned: of 600 waiting
        fillers 30 ran, on 60 of 550 idle cores.
        """
        weights = self.get_optimistic_weights(filler)
        known = weights.get(victim)
        if known is None:
            known = weights[victim] = self._compute_optimistic_weight(victim, filler)
        return known

    def get_optimistic_weights(self, filler: str) -> dict[str, float]:
        """Return the optimistic weights of a filler known so far, by victim.

        They are valid until the next change is learned.
        """
        weights = self._optimistic_weights.get(filler)
        if weights is None:
            weights = self._optimistic_weights[filler] = {}
        return weights

    def _compute_optimistic_weight(self, victim: str, filler: str) -> float:
        weight = _PRIOR_WEIGHT
        row = self.rows.get(victim)
        if row is not None and filler in row.means:
            deviation = math.sqrt(max(0.0, row.get_variance(row.numbers[filler])))
            weight = max(0.0, row.means[filler] - _OPTIMISM_DEVIATIONS * deviation)
        return weight

    def is_heavy(self, victim: str, filler: str) -> bool:
        """Return whether fillers of an image are expected to disturb a service task."""
        return self.get_weight(victim, filler) > _MAX_LIGHT_WEIGHT

    def get_base(self, victim: str) -> float:
        """Return the mean slack of service tasks without fillers."""
        row = self.rows.get(victim)
        return _PRIOR_BASE if row is None else row.base

    def get_trough(self, victim: str) -> float:
        """Return the slack without fillers at the peak of the task's own load."""
        row = self.rows.get(victim) or _VictimModel()
        return row.base - _TROUGH_DEVIATIONS * math.sqrt(row.swing)

    def predict_cost(self, victim: str, shares: Mapping[str, float]) -> float:
        """Return the slack that a service task loses to the fillers beside it.

        Parameters
        ----------
        victim : str
            Image of the service task.
        shares : mapping of str to float
            Fraction of the worker's processors that fillers of each image use.
        """
        row = self.rows.get(victim)
        means = row.means if row is not None else {}
        cost = 0.0
        for image, share in shares.items():
            weight = means.get(image, _PRIOR_WEIGHT)
            if weight > 0.0:
                cost += weight * share
        return cost

    def learn_base(self, victim: str, base: float) -> None:
        """Update the mean base with the current base of one service task."""
        row = self._get_row(victim)
        innovation = base - row.base
        row.base += _BASE_SMOOTHING * innovation
        row.swing += _BASE_SMOOTHING * (innovation * innovation - row.swing)

    def learn_change(
        self,
        victim: str,
        *,
        before: Mapping[str, float],
        after: Mapping[str, float],
        slack_before: float,
        slack_after: float,
    ) -> None:
        """Update the weights from the change observed beside one service task.

        Parameters
        ----------
        victim : str
            Image of the service task.
        before, after : mapping of str to float
            Fraction of the worker's processors that fillers of each image used, delayed
            in the same way as the slacks.
        slack_before, slack_after : float
            Slack of the service task before and after the change.
        """
        if min(slack_before, slack_after) <= _MIN_SLACK:
            return
        if max(slack_before, slack_after) >= _MAX_SLACK:
            return
        features: dict[str, float] = {}
        for image in before.keys() | after.keys():
            change = after.get(image, 0.0) - before.get(image, 0.0)
            if abs(change) > _MIN_SHARE_CHANGE:
                features[image] = -change
        if features:
            self._update_weights(victim, features, slack_after - slack_before)

    def _update_weights(
        self, victim: str, features: Mapping[str, float], change: float
    ) -> None:
        row = self._get_row(victim)
        changes = [(row.add_image(image), x) for image, x in features.items()]
        row.add_variance(_PROCESS_VARIANCE)
        predicted_variance = sum(row.get_variance(n) * x * x for n, x in changes)
        if predicted_variance < _MIN_VARIANCE_RATIO * _CHANGE_VARIANCE:
            return
        self.steps += 1
        self._optimistic_weights.clear()
        cross_covariances = [
            sum(cells[number] * x for number, x in changes) for cells in row.covariance
        ]
        innovation_variance = _CHANGE_VARIANCE
        innovation_variance += sum(cross_covariances[n] * x for n, x in changes)
        predicted = sum(row.means[image] * x for image, x in features.items())
        scaled_innovation = (change - predicted) / innovation_variance
        for image, value, cells in zip(
            row.means, cross_covariances, row.covariance, strict=True
        ):
            if value:
                row.means[image] += value * scaled_innovation
                cells[:] = [
                    cell - value * other / innovation_variance
                    for cell, other in zip(cells, cross_covariances, strict=True)
                ]


def encode_interference(interference: Interference) -> bytes:
    """Encode the learned model for the next owner."""
    value = {
        victim: {
            "base": round(row.base, 3),
            "swing": round(row.swing, 3),
            "means": {image: round(mean, 3) for image, mean in row.means.items()},
            "covariance": {
                image: {
                    other: round(cell, 3)
                    for other, cell in zip(row.means, cells, strict=True)
                }
                for image, cells in zip(row.means, row.covariance, strict=True)
            },
        }
        for victim, row in interference.rows.items()
    }
    return json.dumps(value, separators=(",", ":")).encode()


def _decode_weights(value: Any) -> dict[str, float]:
    cells = check_object(value, "weights").items()
    return {
        image: check_number(
            x, "weight", minimum=-_MAX_DECODED_VALUE, maximum=_MAX_DECODED_VALUE
        )
        for image, x in cells
    }


def _decode_row(value: Any) -> _VictimModel:
    table = check_object(value, "row")
    means = _decode_weights(table.get("means"))
    rows = read_object(table, "covariance").items()
    covariance = {image: _decode_weights(cells) for image, cells in rows}
    key_sets = [covariance.keys(), *(cells.keys() for cells in covariance.values())]
    if any(images != means.keys() for images in key_sets):
        raise DecodeError("covariance: images differ from those of the means")
    return _VictimModel(
        base=read_number(
            table, "base", minimum=-_MAX_DECODED_VALUE, maximum=_MAX_DECODED_VALUE
        ),
        swing=read_number(table, "swing", maximum=_MAX_DECODED_VALUE),
        means=means,
        covariance=[[covariance[image][other] for other in means] for image in means],
    )


def decode_interference(data: bytes) -> Interference:
    """Decode the output of ``encode_interference``.

    Raises
    ------
    DecodeError
        If the data is not a valid model.
    """
    rows = {victim: _decode_row(row) for victim, row in parse_object(data).items()}
    return Interference(rows=rows)
