"""Learned ratios of what tasks did to what was declared, by team and class."""

from collections import deque

import attrs

__all__ = ["RatioKey", "RatioTable"]

_WINDOW = 64
_LEAST_SAMPLES = 5
_KEY_LIMIT = 4096


@attrs.frozen(kw_only=True, slots=True)
class RatioKey:
    """Whose ratios are learned together.

    Parameters
    ----------
    team : str
        Team that declares.
    task_class : str
        Class of the task.
    """

    team: str
    task_class: str


@attrs.define(kw_only=True)
class RatioTable:
    """Last ratios for each key, bounded in keys and in samples.

    Parameters
    ----------
    samples : dict of RatioKey to deque of float
        Last measured ratios, oldest first.
    ordered : dict of RatioKey to list of float
        The same, sorted; rebuilt when asked for after a change.
    """

    samples: dict[RatioKey, deque[float]] = attrs.field(factory=dict)
    ordered: dict[RatioKey, list[float]] = attrs.field(factory=dict)

    def record(self, key: RatioKey, ratio: float) -> None:
        """Add one measured ratio; the oldest key is dropped when all are taken."""
        kept = self.samples.get(key)
        if kept is None:
            if len(self.samples) >= _KEY_LIMIT:
                oldest = next(iter(self.samples))
                del self.samples[oldest]
                self.ordered.pop(oldest, None)
            kept = self.samples[key] = deque(maxlen=_WINDOW)
        kept.append(ratio)
        self.ordered.pop(key, None)

    def quantile(self, key: RatioKey, fraction: float) -> float:
        """Return a quantile of the key's ratios, or 1.0 while too few are known."""
        ranked = self.ordered.get(key)
        if ranked is None:
            kept = self.samples.get(key)
            if kept is None or len(kept) < _LEAST_SAMPLES:
                return 1.0
            ranked = self.ordered[key] = sorted(kept)
        return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]
