"""One play of a day by one version of the code, and what is kept of its report."""

import json
import pathlib
from collections.abc import Mapping
from typing import Any

import attrs

__all__ = ["Outcome", "Play", "decode_outcome", "decode_report", "encode_outcome"]

_ENDS = ("in_aim", "late", "refused", "failed")


@attrs.frozen(kw_only=True)
class Play:
    """One day to be played by one version.

    Parameters
    ----------
    version : str
        Name of the version.
    checkout : pathlib.Path
        Where its sources are.
    deployment : str
        Name of the deployment or of its variant.
    site : pathlib.Path
        The deployment's file.
    day : str
        Name of the day.
    seed : int or None
        Seed of the day's luck; None for the day's own.
    varied : bool
        Whether times and sizes of the day's faults are drawn anew, too.
    """

    version: str
    checkout: pathlib.Path
    deployment: str
    site: pathlib.Path
    day: str
    seed: int | None = None
    varied: bool = False

    @property
    def setting(self) -> tuple[str, str, int | None, bool]:
        """What two versions share that play the same."""
        return self.deployment, self.day, self.seed, self.varied


@attrs.frozen(kw_only=True)
class Outcome:
    """What one play brought.

    Parameters
    ----------
    version, deployment, day, seed, varied
        As in `Play`.
    worth : float
        The users' measure of the day.
    served, failed : float
        Share of the benefit owed that was earned, and of the requests that earned none.
    parts : dict of str to float
        The parts that the measure is made of.
    classes : dict of str to float
        Share of its benefit that each kind of request earned.
    broken : dict of str to int
        Rules broken, with counts.
    ends : dict of str to dict of str to int
        For each kind of request how many ended in time, late, refused and failed.
    over_limit_s : float
        Time that service tasks were over their limits, or paced down, in s.
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
    def setting(self) -> tuple[str, str, int | None, bool]:
        """What two versions share that played the same."""
        return self.deployment, self.day, self.seed, self.varied


def _read_over_limit(hints: list[str]) -> float:
    """Read the time over limits out of the report's remarks; 0 where none tells it."""
    marker = "paced down, for "
    for hint in hints:
        _, found, rest = hint.partition(marker)
        if found:
            return float(rest.split(" ", 1)[0].replace(",", ""))
    return 0.0


def decode_report(play: Play, report: Mapping[str, Any]) -> Outcome:
    """Keep of a report what is compared."""
    return Outcome(
        version=play.version,
        deployment=play.deployment,
        day=play.day,
        seed=play.seed,
        varied=play.varied,
        worth=report["G"],
        served=report["served"],
        failed=report["unserved"],
        parts={name: figure for name, _, figure in report["parts"]},
        classes={row["name"]: row["worth"] for row in report["classes"]},
        broken={rule: int(count) for rule, count in report["breaks"].items()},
        ends={
            row["name"]: {how: row[how] for how in _ENDS} for row in report["classes"]
        },
        over_limit_s=_read_over_limit(report["hints"]),
    )


def encode_outcome(outcome: Outcome) -> str:
    """Encode an outcome as one line."""
    return json.dumps(attrs.asdict(outcome), separators=(",", ":"))


def decode_outcome(line: str) -> Outcome:
    """Decode what `encode_outcome` made."""
    return Outcome(**json.loads(line))
