"""Lines through measurements."""

import time
from collections.abc import Callable, Iterator, Sequence

import attrs
import numpy as np

__all__ = ["Slope", "Slopes", "fit_line", "time_call"]

_US_PER_S = 1e6


@attrs.frozen(kw_only=True)
class Slope:
    """A line through the measurements along one axis.

    Parameters
    ----------
    key : str
        Name that the arithmetic refers to it by.
    role : str
        Role that pays for it.
    what : str
        What was measured.
    module : str
        Module that carries it.
    axis : str
        What was varied.
    unit : str
        Unit of the measurement.
    sizes : tuple of float
        Where along the axis it was measured.
    values : tuple of float
        What was measured there.
    per_unit : float
        Slope, in units of the measurement for one unit of the axis.
    intercept : float
        Value of the line at zero.
    residual : float
        Largest distance of a measurement from the line, as a part of the largest
        measurement.
    """

    key: str
    role: str
    what: str
    module: str
    axis: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    per_unit: float
    intercept: float
    residual: float

    def at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.per_unit * size


@attrs.define(kw_only=True)
class Slopes:
    """All lines, by key."""

    _by_key: dict[str, Slope] = attrs.field(factory=dict)

    def add(self, *slopes: Slope) -> None:
        """Add lines."""
        for slope in slopes:
            self._by_key[slope.key] = slope

    def __getitem__(self, key: str) -> Slope:
        return self._by_key[key]

    def __iter__(self) -> Iterator[Slope]:
        return iter(self._by_key.values())


def fit_line(
    *,
    key: str,
    role: str,
    what: str,
    module: str,
    axis: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Fit a line by least squares."""
    per_unit, intercept = np.polyfit(sizes, values, 1)
    off = np.abs(np.polyval([per_unit, intercept], sizes) - np.asarray(values))
    largest = float(np.abs(values).max())
    return Slope(
        key=key,
        role=role,
        what=what,
        module=module,
        axis=axis,
        unit=unit,
        sizes=tuple(sizes),
        values=tuple(values),
        per_unit=float(per_unit),
        intercept=float(intercept),
        residual=float(off.max()) / largest if largest else 0.0,
    )


def time_call(call: Callable[[], object], *, least_s: float = 0.1) -> float:
    """Return the processor time of one call, in us: the least of three averages."""
    call()
    averages = []
    for _ in range(3):
        calls, started_s = 0, time.process_time()
        while (spent_s := time.process_time() - started_s) < least_s / 3:
            call()
            calls += 1
        averages.append(spent_s / calls * _US_PER_S)
    return min(averages)
