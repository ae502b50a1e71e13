"""Reduction of a series that breaks a rule to one that is easier to understand."""

from collections.abc import Callable, Iterator

import attrs

from bench.availability.series import Series

__all__ = ["shrink"]

_OPTIONAL_LOADS = ("burst", "urgent_per_s", "churn_ms", "batch")
_MIN_WORKERS = 3
_TAIL_MS = 1000.0


def shrink(
    series: Series,
    find_break: Callable[[Series], float | None],
    *,
    max_trials: int = 200,
) -> Series:
    """Remove actions, load and workers as long as a rule is still broken.

    Parameters
    ----------
    series : Series
        A series that breaks a rule.
    find_break : callable
        Simulates a series, and returns the time at which it breaks a rule, in ms since
        the begin, or None.
    max_trials : int, optional
        Maximum number of simulations.

    Returns
    -------
    Series
        The smallest series found that breaks a rule.
    """
    trials = 1
    broken_ms = find_break(series)
    if broken_ms is not None:
        series = _cut(series, broken_ms)
    has_changed = True
    while has_changed:
        has_changed = False
        for smaller in _list_smaller(series):
            if trials >= max_trials:
                return series
            trials += 1
            broken_ms = find_break(smaller)
            if broken_ms is not None:
                series = _cut(smaller, broken_ms)
                has_changed = True
                break
    return series


def _cut(series: Series, broken_ms: float) -> Series:
    """Return a series that ends soon after it has broken a rule."""
    length_ms = min(series.length_ms, broken_ms + _TAIL_MS)
    actions = tuple(each for each in series.actions if each.at_ms < length_ms)
    return attrs.evolve(series, length_ms=length_ms, actions=actions)


def _list_smaller(series: Series) -> Iterator[Series]:
    for number in reversed(range(len(series.actions))):
        actions = series.actions[:number] + series.actions[number + 1 :]
        yield attrs.evolve(series, actions=actions)
    for name in _OPTIONAL_LOADS:
        if getattr(series.load, name):
            yield attrs.evolve(series, load=attrs.evolve(series.load, **{name: 0.0}))
    if series.workers > _MIN_WORKERS:
        yield attrs.evolve(series, workers=series.workers - 1)
