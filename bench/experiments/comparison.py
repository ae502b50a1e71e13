"""Versions compared play by play, with an interval for the mean difference."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs
import numpy as np

from bench.experiments.plays import Outcome

__all__ = ["Comparison", "compare", "find_interval"]

_RESAMPLES = 10_000
_LEVEL = 0.95
_SEED = 1


@attrs.frozen(kw_only=True)
class Comparison:
    """One version against another over a group of plays.

    Parameters
    ----------
    version, group : str
        The version, and what its plays have in common.
    plays : int
        Plays of it.
    mean, worst : float
        Worth over them.
    failed : float
        Mean share of requests that earned nothing.
    broken : int
        Plays that broke a rule.
    difference : float or None
        Mean difference to the other version over the plays that both have; None where
        they share none.
    low, high : float or None
        Interval of that difference; None where they share fewer than two.
    """

    version: str
    group: str
    plays: int
    mean: float
    worst: float
    failed: float
    broken: int
    difference: float | None
    low: float | None
    high: float | None


def find_interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the interval of a mean by resampling (a percentile bootstrap)."""
    generator = np.random.default_rng(_SEED)
    values = np.asarray(differences)
    picks = generator.integers(0, len(values), size=(_RESAMPLES, len(values)))
    means = values[picks].mean(axis=1)
    low, high = np.quantile(means, [(1.0 - _LEVEL) / 2.0, (1.0 + _LEVEL) / 2.0])
    return float(low), float(high)


def compare(outcomes: Iterable[Outcome], *, base: str) -> list[Comparison]:
    """Compare each version with ``base``: by deployment and day, by deployment, in all.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Plays of all versions.
    base : str
        Name of the version that the others are compared with.
    """
    groups: dict[str, dict[str, list[Outcome]]] = defaultdict(lambda: defaultdict(list))
    for outcome in outcomes:
        for group in (
            f"{outcome.deployment} {outcome.day}",
            f"{outcome.deployment}: all days",
            "all",
        ):
            groups[group][outcome.version].append(outcome)
    return [
        _compare_one(group, version, rows, versions.get(base, []))
        for group, versions in sorted(groups.items())
        for version, rows in sorted(versions.items())
    ]


def _compare_one(
    group: str, version: str, rows: list[Outcome], others: list[Outcome]
) -> Comparison:
    by_setting = {other.setting: other.worth for other in others}
    differences = [
        row.worth - by_setting[row.setting] for row in rows if row.setting in by_setting
    ]
    interval = find_interval(differences) if len(differences) > 1 else (None, None)
    return Comparison(
        version=version,
        group=group,
        plays=len(rows),
        mean=float(np.mean([row.worth for row in rows])),
        worst=min(row.worth for row in rows),
        failed=float(np.mean([row.failed for row in rows])),
        broken=sum(bool(row.broken) for row in rows),
        difference=float(np.mean(differences)) if differences else None,
        low=interval[0],
        high=interval[1],
    )
