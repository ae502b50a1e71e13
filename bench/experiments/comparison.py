"""Paired comparison of versions with confidence intervals."""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs
import numpy as np

from bench.experiments.runs import Outcome

__all__ = ["Comparison", "compare", "compute_interval"]

_RESAMPLES = 10_000
_CONFIDENCE_LEVEL = 0.95
_BOOTSTRAP_SEED = 1


@attrs.frozen(kw_only=True)
class Comparison:
    """One version compared with the base version over a group of runs.

    Parameters
    ----------
    version, group : str
        The version, and the deployment and day that its runs share.
    runs : int
        Number of runs.
    mean, worst : float
        Mean and minimum worth of the runs.
    failed : float
        Mean share of requests that earned no benefit.
    broken : int
        Number of runs with rule violations.
    difference : float or None
        Mean difference from the base version over common runs; None without common
        runs.
    low, high : float or None
        Confidence interval of the difference; None with fewer than two common runs.
    """

    version: str
    group: str
    runs: int
    mean: float
    worst: float
    failed: float
    broken: int
    difference: float | None
    low: float | None
    high: float | None


def compute_interval(differences: Sequence[float]) -> tuple[float, float]:
    """Return the percentile bootstrap confidence interval of the mean."""
    generator = np.random.default_rng(_BOOTSTRAP_SEED)
    values = np.asarray(differences)
    indices = generator.integers(0, len(values), size=(_RESAMPLES, len(values)))
    means = values[indices].mean(axis=1)
    low, high = np.quantile(
        means, [(1.0 - _CONFIDENCE_LEVEL) / 2.0, (1.0 + _CONFIDENCE_LEVEL) / 2.0]
    )
    return float(low), float(high)


def compare(outcomes: Iterable[Outcome], *, base: str) -> list[Comparison]:
    """Compare versions with ``base`` by deployment and day, by deployment, and overall.

    Parameters
    ----------
    outcomes : iterable of Outcome
        Outcomes of all versions.
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
        _compare_version(group, version, rows, versions.get(base, []))
        for group, versions in sorted(groups.items())
        for version, rows in sorted(versions.items())
    ]


def _compare_version(
    group: str, version: str, rows: list[Outcome], base_outcomes: list[Outcome]
) -> Comparison:
    base_worths = {other.scenario: other.worth for other in base_outcomes}
    differences = [
        row.worth - base_worths[row.scenario]
        for row in rows
        if row.scenario in base_worths
    ]
    interval = compute_interval(differences) if len(differences) > 1 else (None, None)
    return Comparison(
        version=version,
        group=group,
        runs=len(rows),
        mean=float(np.mean([row.worth for row in rows])),
        worst=min(row.worth for row in rows),
        failed=float(np.mean([row.failed for row in rows])),
        broken=sum(bool(row.broken) for row in rows),
        difference=float(np.mean(differences)) if differences else None,
        low=interval[0],
        high=interval[1],
    )
