"""Histogram of positive ratios with logarithmic buckets and exponential decay.

As in a high-dynamic-range histogram, the buckets have a constant relative width, which
bounds the relative error. They cover four orders of magnitude, are stored sparsely and
have weights, so that old observations can decay.
"""

import math
from collections.abc import Iterable
from typing import Any

import attrs

from trefoilhook.decoding import check_object, read_number
from trefoilhook.exceptions import DecodeError

__all__ = ["RatioHistogram"]

_BUCKETS_PER_OCTAVE = 8
"""Number of buckets per factor of two: each is 9 % wide."""

_MIN_BUCKET = -7 * _BUCKETS_PER_OCTAVE
_MAX_BUCKET = 7 * _BUCKETS_PER_OCTAVE
"""Lowest and highest bucket: ratios from 1/128 to 128. Ratios outside are clipped."""

_MIN_WEIGHT = 0.01
"""Weight below which a bucket is removed, in observations."""

_MAX_WEIGHT = 1e9
"""Maximum decoded weight, above any that a decaying histogram reaches."""

_WEIGHT_DIGITS = 2


@attrs.define(kw_only=True)
class RatioHistogram:
    """Weighted counts of ratios by bucket.

    Parameters
    ----------
    buckets : dict of int to float
        Weight by bucket; bucket ``i`` is centred at ``2 ** (i / 8)``.
    """

    buckets: dict[int, float] = attrs.Factory(dict)

    @property
    def weight(self) -> float:
        """Total weight, in observations."""
        return sum(self.buckets.values())

    def add(self, ratio: float) -> None:
        """Add one observation; ``ratio`` must be positive."""
        number = round(math.log2(ratio) * _BUCKETS_PER_OCTAVE)
        number = min(max(number, _MIN_BUCKET), _MAX_BUCKET)
        self.buckets[number] = self.buckets.get(number, 0.0) + 1.0

    def merge(self, others: Iterable["RatioHistogram"]) -> None:
        """Add the observations of other histograms."""
        for other in others:
            for number, weight in other.buckets.items():
                self.buckets[number] = self.buckets.get(number, 0.0) + weight

    def fade(self, factor: float) -> None:
        """Multiply all weights by a factor of at most 1."""
        faded = {number: weight * factor for number, weight in self.buckets.items()}
        self.buckets = {
            number: weight for number, weight in faded.items() if weight >= _MIN_WEIGHT
        }

    def compute_quantile(self, fraction: float) -> float:
        """Return a quantile of the ratios; there must be at least one observation.

        The result is the upper edge of the bucket of the quantile.
        """
        remaining = fraction * self.weight
        number = _MIN_BUCKET
        for number in sorted(self.buckets):
            remaining -= self.buckets[number]
            if remaining <= 0.0:
                break
        return _compute_centre(number + 0.5)

    def compute_weight_above(self, ratio: float) -> float:
        """Return the weight of the observations above a ratio."""
        return sum(weight for _, weight in self._list_above(ratio))

    def compute_mean_excess(self, ratio: float) -> float:
        """Return the mean excess of the observations above ``ratio``; 0 without any."""
        above = self._list_above(ratio)
        total = sum(weight for _, weight in above)
        if total <= 0.0:
            return 0.0
        return sum((centre - ratio) * weight for centre, weight in above) / total

    def _list_above(self, ratio: float) -> list[tuple[float, float]]:
        """Return the centres and weights of the buckets above a ratio."""
        rows = ((_compute_centre(n), weight) for n, weight in self.buckets.items())
        return [row for row in rows if row[0] > ratio]

    def encode(self) -> dict[str, float]:
        """Return the JSON value of the histogram."""
        return {
            str(number): round(weight, _WEIGHT_DIGITS)
            for number, weight in self.buckets.items()
        }

    @classmethod
    def decode(cls, value: Any) -> "RatioHistogram":
        """Decode the output of ``encode``.

        Raises
        ------
        DecodeError
            If the value is not a valid histogram.
        """
        table = check_object(value, "histogram")
        buckets = {
            _decode_bucket(name): read_number(
                table, name, minimum=0.0, maximum=_MAX_WEIGHT
            )
            for name in table
        }
        if len(buckets) != len(table):
            raise DecodeError("histogram: a bucket occurs twice")
        return cls(buckets=buckets)


def _compute_centre(number: float) -> float:
    return float(2.0 ** (number / _BUCKETS_PER_OCTAVE))


def _decode_bucket(name: str) -> int:
    try:
        number = int(name)
    except ValueError as error:
        raise DecodeError("histogram: invalid bucket") from error
    if not _MIN_BUCKET <= number <= _MAX_BUCKET:
        raise DecodeError("histogram: bucket out of range")
    return number
