"""Quantiles of the ratio of measured to declared run time, by team and class."""

from collections import deque

import attrs

__all__ = ["RatioKey", "RatioTable"]

_MAX_SAMPLES = 64
_MIN_SAMPLES = 5
_MAX_KEYS = 4096


@attrs.frozen(kw_only=True, slots=True)
class RatioKey:
    """Key under which ratios are aggregated.

    Parameters
    ----------
    team : str
        Team that owns the tasks.
    task_class : str
        Class of the tasks.
    """

    team: str
    task_class: str


@attrs.define(kw_only=True)
class RatioTable:
    """Most recent ratios of each key, with a bounded number of keys and samples.

    Parameters
    ----------
    samples : dict of RatioKey to deque of float
        Most recent ratios, oldest first.
    sorted_samples : dict of RatioKey to list of float
        Cache of the same ratios in ascending order, rebuilt on demand.
    """

    samples: dict[RatioKey, deque[float]] = attrs.field(factory=dict)
    sorted_samples: dict[RatioKey, list[float]] = attrs.field(factory=dict)

    def record(self, key: RatioKey, ratio: float) -> None:
        """Add a measured ratio; the oldest key is evicted when the table is full."""
        samples = self.samples.get(key)
        if samples is None:
            if len(self.samples) >= _MAX_KEYS:
                oldest = next(iter(self.samples))
                del self.samples[oldest]
                self.sorted_samples.pop(oldest, None)
            samples = self.samples[key] = deque(maxlen=_MAX_SAMPLES)
        samples.append(ratio)
        self.sorted_samples.pop(key, None)

    def quantile(self, key: RatioKey, fraction: float) -> float:
        """Return a quantile of the key's ratios, or 1.0 with too few samples."""
        ordered = self.sorted_samples.get(key)
        if ordered is None:
            samples = self.samples.get(key)
            if samples is None or len(samples) < _MIN_SAMPLES:
                return 1.0
            ordered = self.sorted_samples[key] = sorted(samples)
        return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
