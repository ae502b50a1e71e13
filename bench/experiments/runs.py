"""Simulation run of a day with one version of the code, and its outcome."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

__all__ = ["Outcome", "Run", "decode_outcome", "decode_report", "encode_outcome"]

_END_COUNTS = ("in_aim", "late", "refused", "failed")


@attrs.frozen(kw_only=True)
class Run:
    """Configuration of a simulation run: one day with one version.

    Parameters
    ----------
    version : str
        Name of the version.
    checkout : pathlib.Path
        Checkout with the sources of the version.
    deployment : str
        Name of the deployment or of its variant.
    site : pathlib.Path
        The deployment's file.
    day : str
        Name of the day.
    seed : int or None
        Random seed; None for the seed given in the day's definition.
    varied : bool
        Whether times and sizes of the day's faults are drawn from the seed as well.
    """

    version: str
    checkout: pathlib.Path
    deployment: str
    site: pathlib.Path
    day: str
    seed: int | None = None
    varied: bool = False

    @property
    def scenario(self) -> tuple[str, str, int | None, bool]:
        """Key that is equal for paired runs of different versions."""
        return self.deployment, self.day, self.seed, self.varied


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a run.

    Parameters
    ----------
    version, deployment, day, seed, varied
        As in `Run`.
    worth : float
        Score of the day by the users' measure.
    served, failed : float
        Share of the possible benefit that was earned, and share of the requests that
        earned none.
    parts : dict of str to float
        Components of the score.
    classes : dict of str to float
        Share of the possible benefit earned, by class of request.
    broken : dict of str to int
        Number of violations by rule.
    ends : dict of str to dict of str to int
        Number of requests in time, late, refused and failed, by class of request.
    over_limit_s : float
        Total time that service tasks were over their latency limits or throttled,
        in s.
    """

    version: str
    deployment: str
    day: str
    seed: int | None
    varied: bool
    worth: float
    served: float
    failed: float
    parts: dict[str, float]
    classes: dict[str, float]
    broken: dict[str, int]
    ends: dict[str, dict[str, int]] = attrs.Factory(dict)
    over_limit_s: float = 0.0

    @property
    def scenario(self) -> tuple[str, str, int | None, bool]:
        """Key that is equal for paired runs of different versions."""
        return self.deployment, self.day, self.seed, self.varied


def _parse_over_limit_s(hints: list[str]) -> float:
    """Parse the time over limits from the report's hints; 0 if there is none."""
    marker = "paced down, for "
    for hint in hints:
        _, found, rest = hint.partition(marker)
        if found:
            return float(rest.split(" ", 1)[0].replace(",", ""))
    return 0.0


def decode_report(run: Run, report: Mapping[str, Any]) -> Outcome:
    """Extract the outcome from a report."""
    return Outcome(
        version=run.version,
        deployment=run.deployment,
        day=run.day,
        seed=run.seed,
        varied=run.varied,
        worth=report["G"],
        served=report["served"],
        failed=report["unserved"],
        parts={name: figure for name, _, figure in report["parts"]},
        classes={row["name"]: row["worth"] for row in report["classes"]},
        broken={rule: int(count) for rule, count in report["breaks"].items()},
        ends={
            row["name"]: {kind: row[kind] for kind in _END_COUNTS}
            for row in report["classes"]
        },
        over_limit_s=_parse_over_limit_s(report["hints"]),
    )


def encode_outcome(outcome: Outcome) -> str:
    """Encode an outcome as a line of JSON."""
    return json.dumps(attrs.asdict(outcome), separators=(",", ":"))


def decode_outcome(line: str) -> Outcome:
    """Decode a line written by `encode_outcome`."""
    return Outcome(**json.loads(line))
