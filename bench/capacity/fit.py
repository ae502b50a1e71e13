"""Linear fits of measurements."""

import time
from collections.abc import Callable, Iterator, Sequence

import attrs
import numpy as np

__all__ = ["Slope", "Slopes", "fit_line", "time_call"]

_US_PER_S = 1e6


@attrs.frozen(kw_only=True)
class Slope:
    """Linear fit of measurements along one axis.

    Parameters
    ----------
    key : str
        Name used by the projections.
    role : str
        Role that bears the cost.
    description : str
        Description of the measurement.
    module : str
        Module that implements it.
    axis : str
        Independent variable.
    unit : str
        Unit of the measurement.
    sizes : tuple of float
        Measured points on the axis.
    values : tuple of float
        Measured values at these points.
    per_unit : float
        Slope, in units of the measurement per unit of the axis.
    intercept : float
        Value of the fit at zero.
    residual : float
        Largest deviation of a measurement from the fit, as a fraction of the largest
        measurement.
    """

    key: str
    role: str
    description: str
    module: str
    axis: str
    unit: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    per_unit: float
    intercept: float
    residual: float

    def evaluate(self, size: float) -> float:
        """Return the value of the fit at a size."""
        return self.intercept + self.per_unit * size


@attrs.define(kw_only=True)
class Slopes:
    """Linear fits by key."""

    _by_key: dict[str, Slope] = attrs.field(factory=dict)

    def add(self, *slopes: Slope) -> None:
        """Add fits."""
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
    description: str,
    module: str,
    axis: str,
    unit: str,
    sizes: Sequence[float],
    values: Sequence[float],
) -> Slope:
    """Fit a line to measurements by least squares."""
    per_unit, intercept = np.polyfit(sizes, values, 1)
    deviations = np.abs(np.polyval([per_unit, intercept], sizes) - np.asarray(values))
    largest = float(np.abs(values).max())
    return Slope(
        key=key,
        role=role,
        description=description,
        module=module,
        axis=axis,
        unit=unit,
        sizes=tuple(sizes),
        values=tuple(values),
        per_unit=float(per_unit),
        intercept=float(intercept),
        residual=float(deviations.max()) / largest if largest else 0.0,
    )


def time_call(call: Callable[[], object], *, min_duration_s: float = 0.1) -> float:
    """Return the processor time of a call, in us, as the minimum of three averages."""
    call()
    averages = []
    for _ in range(3):
        calls, started_s = 0, time.process_time()
        while (elapsed_s := time.process_time() - started_s) < min_duration_s / 3:
            call()
            calls += 1
        averages.append(elapsed_s / calls * _US_PER_S)
    return min(averages)
