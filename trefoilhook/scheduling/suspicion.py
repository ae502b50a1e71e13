"""How likely it is that a task crashes the workers that start it.

A crash is due to one of the runs that were there, or to something that has to do with
none of them. What it tells of a task depends on how soon after the start it came, and
on the other explanations: a run that is strongly suspected explains a crash away for
all that ran beside it, and a run that goes on without a crash clears its task. The odds
that follow decide whether a task runs apart from others, and whether it is given up.

The time from the start of a crashing task to the crash is taken as log-uniform: any
decade is as likely as another. That makes no difference between a run at full speed and
one that is slowed, for which every time is longer by the same factor.
"""

import math
from collections.abc import Sequence

import attrs

__all__ = [
    "LEAST_RATIO",
    "PRIOR_ODDS",
    "STRONG_ODDS",
    "CrashNote",
    "CrashRate",
    "Exposure",
    "Suspicion",
    "Unit",
    "compute_survival",
    "weigh_crash",
]

Unit = tuple[int, int, int]
"""Occurrence, step and index of a task. A gang, whose members start and end together,
is one unit, under the index 0."""

PRIOR_ODDS = 0.0001
"""Odds that a task of which nothing is known crashes its workers."""

STRONG_ODDS = 0.02
"""Odds from which a task runs apart from others."""

_USUAL_PAUSE_MS = 600_000.0
"""Time between two crashes of a worker for which no task is to blame, in ms, as far as
nothing else is seen."""

_MEMORY_MS = 60_000.0
"""How long crashes raise the rate that is expected of others, in ms: what takes many
workers down, such as a failing rack, passes."""

_LEAST_ONSET_MS = 1.0
_MOST_ONSET_MS = 100_000.0
"""Bounds of the time from a start to the crash that it causes, in ms."""

_DECADES = math.log(_MOST_ONSET_MS / _LEAST_ONSET_MS)

_LEAST_SURVIVAL = 0.001
"""A run that has outlived the longest onset still clears its task by no more."""

LEAST_RATIO = 2.0
"""A crash counts against a task if it raises its odds by this factor at least."""

_MOST_DOUBTFUL_RATIO = 20.0
"""A loss that is not proved to be a crash raises the odds by this factor at most."""

_GIVE_UP_ODDS = {2: 1000.0, 3: 100.0, 4: 1.0}
"""Odds from which a task is given up, by the number of crashes that count against it.
Two crashes within moments of a start leave no doubt; others need more."""

_MOST_CRASHES = 5
"""A task is given up after so many crashes whatever the odds: the most workers that
the platform lets one task take down."""

_MOST_DOUBTS = 8
"""Losses without proof that are kept, the latest."""


@attrs.frozen(kw_only=True)
class CrashNote:
    """A lost worker that counts against a task.

    Parameters
    ----------
    worker_id : str
        The worker.
    ratio : float
        Factor by which the loss raised the odds.
    proved : bool
        Whether it is proved that the worker crashed.
    """

    worker_id: str
    ratio: float
    proved: bool


@attrs.define(kw_only=True)
class Suspicion:
    """What is known of a unit under which workers were lost.

    Parameters
    ----------
    notes : dict of int to CrashNote
        By attempt, so that a loss that is told twice counts once.
    survived : float
        Factor by which runs that went on without a crash lower the odds.
    attempt : int
        Attempt that may be running, or whose loss hasn't been judged; 0 for none.
    workers : list of str
        Where that attempt was ordered.
    ran_ms : float or None
        How long it had run when the connection to a worker of it ended, in ms; None
        while none has.
    """

    notes: dict[int, CrashNote] = attrs.Factory(dict)
    survived: float = 1.0
    attempt: int = 0
    workers: list[str] = attrs.Factory(list)
    ran_ms: float | None = None

    @property
    def odds(self) -> float:
        """Odds that the unit crashes its workers."""
        ratios = (note.ratio for note in self.notes.values())
        return PRIOR_ODDS * self.survived * math.prod(ratios)

    @property
    def chance(self) -> float:
        """Probability that the unit crashes its workers."""
        return self.odds / (1.0 + self.odds)

    @property
    def crashes(self) -> int:
        """Crashes that count against it."""
        return sum(note.proved for note in self.notes.values())

    @property
    def doubts(self) -> int:
        """Losses without proof that count against it."""
        return len(self.notes) - self.crashes

    @property
    def is_blank(self) -> bool:
        """Whether nothing is left that speaks against it."""
        return not self.attempt and (not self.notes or self.odds < PRIOR_ODDS)

    def is_crash_loop(self) -> bool:
        """Tell whether the unit is to be given up."""
        if self.crashes >= _MOST_CRASHES:
            return True
        return self.odds >= _GIVE_UP_ODDS.get(self.crashes, math.inf)

    def take_loss(
        self, attempt: int, worker_id: str, ratio: float, *, proved: bool
    ) -> None:
        """Take in what a lost worker tells of the unit."""
        if not proved:
            ratio = min(ratio, _MOST_DOUBTFUL_RATIO)
        if ratio < LEAST_RATIO:
            self.survive(ratio)
            return
        self.notes[attempt] = CrashNote(worker_id=worker_id, ratio=ratio, proved=proved)
        doubts = sorted(n for n, note in self.notes.items() if not note.proved)
        for oldest in doubts[:-_MOST_DOUBTS]:
            del self.notes[oldest]

    def survive(self, factor: float) -> None:
        """Take in that a run went on without a crash."""
        self.survived = min(1.0, max(_LEAST_SURVIVAL, self.survived * factor))

    def place(self, attempt: int, worker_id: str) -> None:
        """Note where an attempt is ordered."""
        if self.attempt != attempt:
            self.attempt = attempt
            self.workers = []
            self.ran_ms = None
        if worker_id not in self.workers:
            self.workers.append(worker_id)

    def settle(self) -> None:
        """Note that the last attempt is over, and what became of it is known."""
        self.attempt = 0
        self.workers = []
        self.ran_ms = None


@attrs.frozen(kw_only=True)
class Exposure:
    """A run that a crash may be due to.

    Parameters
    ----------
    odds : float
        Odds of its task before the crash.
    ran_ms : float
        Time from its start to the crash, in ms.
    """

    odds: float
    ran_ms: float


@attrs.define(kw_only=True)
class CrashRate:
    """Rate of the crashes for which no task is to blame.

    Guards against tasks that are given up because workers crash by themselves, many of
    them in a short time: what happens without a cause explains more of each crash.

    Parameters
    ----------
    crashes : float
        Crashes of late that no task explains; each counts by how likely that is.
    worker_ms : float
        Time for which workers were seen meanwhile, in ms, summed over them.
    updated_ms : float or None
        Up to when that was counted, in ms.
    """

    crashes: float = 0.0
    worker_ms: float = 0.0
    updated_ms: float | None = None

    def advance(self, workers: int, now_ms: float) -> None:
        """Count the time that workers were seen."""
        if self.updated_ms is not None:
            passed_ms = max(0.0, now_ms - self.updated_ms)
            kept = math.exp(-passed_ms / _MEMORY_MS)
            self.crashes *= kept
            self.worker_ms = kept * self.worker_ms + workers * passed_ms
        self.updated_ms = now_ms

    def note(self, share: float) -> None:
        """Count a crash that no task explains with this probability."""
        self.crashes += share

    def read(self) -> float:
        """Return the rate for one worker, per ms."""
        seen = (1.0 + self.crashes) / (_USUAL_PAUSE_MS + self.worker_ms)
        return max(1.0 / _USUAL_PAUSE_MS, seen)


def compute_survival(ran_ms: float) -> float:
    """Return how likely a crashing task is to run for so long without a crash."""
    decades = math.log(max(ran_ms, _LEAST_ONSET_MS) / _LEAST_ONSET_MS)
    return max(_LEAST_SURVIVAL, 1.0 - decades / _DECADES)


def _compute_density(ran_ms: float) -> float:
    """Return how likely a crashing task is to crash at this time, per ms."""
    if ran_ms >= _MOST_ONSET_MS:
        return 0.0
    return 1.0 / (_DECADES * max(ran_ms, _LEAST_ONSET_MS))


def weigh_crash(
    exposures: Sequence[Exposure], other_rate: float
) -> tuple[list[float], float]:
    """Weigh a crash against each run that it may be due to.

    Parameters
    ----------
    exposures : sequence of Exposure
        The runs.
    other_rate : float
        Rate of crashes for which no task is to blame, per ms.

    Returns
    -------
    list of float
        Factor by which the crash changes the odds of each run's task. One over 1 speaks
        against the task; one under 1 speaks for it, as it is known to have run until
        then, and others explain the crash.
    float
        Probability that none of them is to blame.
    """
    densities = [_compute_density(each.ran_ms) for each in exposures]
    survivals = [compute_survival(each.ran_ms) for each in exposures]
    rates = [
        each.odds * density / (1.0 + each.odds * survival)
        for each, density, survival in zip(exposures, densities, survivals, strict=True)
    ]
    total = other_rate + sum(rates)
    ratios = [
        density / max(other_rate, total - rate) + survival
        for density, survival, rate in zip(densities, survivals, rates, strict=True)
    ]
    return ratios, other_rate / total
