"""Probability that a task crashes the workers that start it.

A crash is caused by one of the runs on the worker or by something unrelated to them.
What it implies for a task depends on the time since the task's start and on the other
explanations: a strongly suspected run explains the crash for all runs beside it, and a
run that continues without a crash exonerates its task. The resulting odds determine
whether a task is isolated and whether its job fails.

The time from the start of a crashing task to the crash is assumed to be log-uniform:
each decade is equally likely. The assumption holds equally for throttled runs, for
which all times are longer by the same factor.
"""

import math
from collections.abc import Sequence

import attrs

__all__ = [
    "LONG_RUN_MS",
    "MAX_UNPROVED_RATIO",
    "MIN_SUSPECT_RATIO",
    "PRIOR_ODDS",
    "STRONG_ODDS",
    "CrashNote",
    "CrashRate",
    "Exposure",
    "Suspicion",
    "Unit",
    "compute_common_cause_limit",
    "compute_likelihood_ratios",
    "compute_survival",
]

Unit = tuple[int, int, int]
"""Occurrence, step and index of a task. A gang, whose members start and end together,
is one unit with index 0."""

PRIOR_ODDS = 0.0001
"""Odds that an unknown task crashes its workers."""

STRONG_ODDS = 0.02
"""Odds from which a task is isolated."""

_BASE_CRASH_INTERVAL_MS = 600_000.0
"""Prior mean time between crashes of one worker that no task causes, in ms."""

_CRASH_RATE_DECAY_MS = 60_000.0
"""Time constant with which recent crashes raise the expected rate, in ms, as events
that affect many workers, such as a rack failure, pass."""

_MIN_ONSET_MS = 1.0
_MAX_ONSET_MS = 100_000.0
"""Bounds of the time from a start to the crash that it causes, in ms."""

_DECADES = math.log(_MAX_ONSET_MS / _MIN_ONSET_MS)

_MIN_SURVIVAL = 0.001
"""Lower bound of the likelihood of survival, for runs longer than the maximum onset."""

MIN_SUSPECT_RATIO = 2.0
"""Minimum factor on the odds for a crash to count against a task."""

LONG_RUN_MS = 7500.0
"""Running time from which a task is past its start, in ms: a loss after it says little
about the task, and earlier losses shortly after a start had other causes."""

MAX_UNPROVED_RATIO = 20.0
"""Maximum factor on the odds for a loss that is not proved to be a crash."""

_COMMON_CAUSE_WINDOW_MS = 2000.0
"""Uncertainty of the time between a run's start and the loss of its worker, in ms, if
the time is compared with that of other losses."""

_MAX_EXCUSED_LOSSES = 5
"""Number of losses of a task that may be excused. Bounds the starts of a task that
silences its workers while others fall silent for other reasons, or after times that
vary."""

_GIVE_UP_ODDS = {2: 1000.0, 3: 100.0, 4: 1.0}
"""Odds from which a task's job fails, by the number of crashes that count against the
task. Two crashes shortly after a start are conclusive; others require more."""

_MAX_CRASHES = 5
"""Number of crashes after which a task's job fails at any odds: the platform's limit on
the number of workers that one task may take down."""

_MAX_UNPROVED_LOSSES = 8
"""Number of unproved losses that are kept, the latest ones."""


@attrs.frozen(kw_only=True)
class CrashNote:
    """Loss of a worker that counts against a task.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
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
    """Evidence on a unit that ran on lost workers.

    Parameters
    ----------
    notes : dict of int to CrashNote
        Losses by attempt, so that a loss that is reported twice counts once.
    excused : set of int
        Attempts whose loss does not count as one of a row: it has a common cause with
        the losses of other workers, or a later run went on for long.
    survived : float
        Factor by which runs without a crash lower the odds.
    attempt : int
        Attempt that may be running, or whose loss has not been evaluated; 0 for none.
    workers : list of str
        Workers on which that attempt was started.
    ran_ms : float or None
        Running time of that attempt when the connection to one of its workers ended, in
        ms; None if none has ended.
    """

    notes: dict[int, CrashNote] = attrs.Factory(dict)
    excused: set[int] = attrs.Factory(set)
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
        """Number of proved crashes that count against it."""
        return sum(note.proved for note in self.notes.values())

    @property
    def unproved_losses(self) -> int:
        """Number of unproved losses that count against it."""
        return len(self.notes) - self.crashes

    @property
    def single_losses(self) -> int:
        """Number of these losses that are not excused."""
        return sum(
            not note.proved and attempt not in self.excused
            for attempt, note in self.notes.items()
        )

    @property
    def is_negligible(self) -> bool:
        """Whether no evidence against it is left."""
        return not self.attempt and (not self.notes or self.odds < PRIOR_ODDS)

    def is_crash_loop(self) -> bool:
        """Return whether the unit's job must fail."""
        if self.crashes >= _MAX_CRASHES:
            return True
        return self.odds >= _GIVE_UP_ODDS.get(self.crashes, math.inf)

    def record_loss(
        self,
        attempt: int,
        worker_id: str,
        ratio: float,
        *,
        proved: bool,
        is_concurrent: bool = False,
    ) -> None:
        """Apply the loss of a worker.

        Parameters
        ----------
        attempt : int
            Attempt that ran there.
        worker_id : str
            The worker.
        ratio : float
            Likelihood ratio of the loss.
        proved : bool
            Whether it is proved that the worker crashed.
        is_concurrent : bool, optional
            Whether the loss has a common cause with others.
        """
        if not proved:
            ratio = min(ratio, MAX_UNPROVED_RATIO)
        if ratio < MIN_SUSPECT_RATIO:
            self.record_survival(ratio)
            return
        self.notes[attempt] = CrashNote(worker_id=worker_id, ratio=ratio, proved=proved)
        if is_concurrent and len(self.excused) < _MAX_EXCUSED_LOSSES:
            self.excused.add(attempt)
        unproved_losses = sorted(n for n, note in self.notes.items() if not note.proved)
        for oldest in unproved_losses[:-_MAX_UNPROVED_LOSSES]:
            del self.notes[oldest]

    def record_survival(self, factor: float) -> None:
        """Apply a run that continued without a crash."""
        self.survived = min(1.0, max(_MIN_SURVIVAL, self.survived * factor))

    def excuse_losses(self, ran_ms: float) -> None:
        """Record that a run went on for long, so that losses before it don't count.

        Parameters
        ----------
        ran_ms : float
            Its running time, in ms. Unless it exceeds the longest time from a start to
            a crash, only some losses are excused: the time may vary.
        """
        left = _MAX_EXCUSED_LOSSES - len(self.excused)
        if ran_ms >= _MAX_ONSET_MS:
            left = len(self.notes)
        counted = sorted(
            attempt
            for attempt, note in self.notes.items()
            if not note.proved and attempt not in self.excused
        )
        self.excused.update(counted[: max(0, left)])

    def record_attempt(self, attempt: int, worker_id: str) -> None:
        """Record the worker on which an attempt is started."""
        if self.attempt != attempt:
            self.attempt = attempt
            self.workers = []
            self.ran_ms = None
        if worker_id not in self.workers:
            self.workers.append(worker_id)

    def clear_attempt(self) -> None:
        """Record that the last attempt is over and its outcome is known."""
        self.attempt = 0
        self.workers = []
        self.ran_ms = None


@attrs.frozen(kw_only=True)
class Exposure:
    """A run that may have caused a crash.

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
    """Rate of crashes that no task causes.

    Guards against giving up tasks because workers crash for other reasons, possibly
    many of them within a short time: a higher rate explains more of each crash.

    Parameters
    ----------
    crashes : float
        Decaying sum of recent crashes, each weighted with the probability that no task
        caused it.
    worker_ms : float
        Decaying sum of the time for which workers were observed, in ms.
    updated_ms : float or None
        Time of the last update, in ms.
    """

    crashes: float = 0.0
    worker_ms: float = 0.0
    updated_ms: float | None = None

    def update(self, workers: int, now_ms: float) -> None:
        """Add the time since the last update for the given number of workers."""
        if self.updated_ms is not None:
            passed_ms = max(0.0, now_ms - self.updated_ms)
            decay = math.exp(-passed_ms / _CRASH_RATE_DECAY_MS)
            self.crashes *= decay
            self.worker_ms = decay * self.worker_ms + workers * passed_ms
        self.updated_ms = now_ms

    def add_unexplained(self, share: float) -> None:
        """Add a crash with the probability that no task caused it."""
        self.crashes += share

    def estimate(self) -> float:
        """Return the rate for one worker, per ms."""
        seen = (1.0 + self.crashes) / (_BASE_CRASH_INTERVAL_MS + self.worker_ms)
        return max(1.0 / _BASE_CRASH_INTERVAL_MS, seen)


def compute_survival(ran_ms: float) -> float:
    """Return the probability that a crashing task runs this long without a crash."""
    decades = math.log(max(ran_ms, _MIN_ONSET_MS) / _MIN_ONSET_MS)
    return max(_MIN_SURVIVAL, 1.0 - decades / _DECADES)


def _compute_density(ran_ms: float) -> float:
    """Return the probability density of a crash at this time, per ms."""
    if ran_ms >= _MAX_ONSET_MS:
        return 0.0
    return 1.0 / (_DECADES * max(ran_ms, _MIN_ONSET_MS))


def compute_likelihood_ratios(
    exposures: Sequence[Exposure], other_rate: float
) -> tuple[list[float], float]:
    """Compute the evidence of a crash against each run that may have caused it.

    Parameters
    ----------
    exposures : sequence of Exposure
        Runs that may have caused the crash.
    other_rate : float
        Rate of crashes that no task causes, per ms.

    Returns
    -------
    list of float
        Likelihood ratio for each run's task. A value above 1 counts against the task. A
        value below 1 counts for it, as it ran until then and other causes explain the
        crash.
    float
        Probability that none of the runs caused the crash.
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


def compute_common_cause_limit(ran_ms: float, share: float) -> float:
    """Return the maximum evidence of a loss beside others that have a common cause.

    It compares two explanations: the common cause took the run's worker along, or it
    did not and the run silenced the worker at the same time.

    Parameters
    ----------
    ran_ms : float
        Time from the run's start to the loss, in ms.
    share : float
        Fraction of the workers that were lost together; 0 if there is no evidence of a
        common cause.

    Returns
    -------
    float
        Maximum likelihood ratio for the run's task; infinite without a common cause.
    """
    if share <= 0.0:
        return math.inf
    first_ms = max(ran_ms - _COMMON_CAUSE_WINDOW_MS, _MIN_ONSET_MS)
    last_ms = min(ran_ms + _COMMON_CAUSE_WINDOW_MS, _MAX_ONSET_MS)
    coincidence = max(0.0, math.log(last_ms / first_ms)) / _DECADES
    return compute_survival(ran_ms) + coincidence * (1.0 - share) / share
