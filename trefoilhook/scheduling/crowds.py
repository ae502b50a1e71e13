"""Who shares a worker: the service tasks and the fillers on it."""

import attrs

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.interference import Interference
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.slack import SlackTrack, measure_slack

__all__ = [
    "BUSY_SHARE",
    "FILLER_USE",
    "FULL_PACE",
    "SERVICE_USE",
    "Crowd",
    "Crowds",
    "Victim",
    "find_step",
    "learn_crowd",
]

FULL_PACE = 100
"""Pace of a task that nobody slows, in percent."""

_AT_WORK = 100
"""Percent at which a long-running task is at work, and its tail latency counts."""

SERVICE_USE = 0.5
"""Share of what service tasks ask for that is kept for them: fillers run on the rest.
In a trial they used 0.42 to 0.45, swinging by half of that."""

BUSY_SHARE = 0.95
"""Share of a worker's processors that may be in use: a filler takes whatever there is,
and near the end of it every service task waits for a processor. Of the time with less
than nine tenths asked for, 2.5 % was over a limit; with a fifth more than all, 14 %."""

_AHEAD_MS = 1000.0
"""A filler is placed for the base that is to come, in ms: it works for two seconds."""

_PASSING = 0.4
"""Share of what a base is above its trough that counts for a filler: the load swings
with a period of ten seconds and a filler works for two, but a worker has some service
tasks, and one of them is always near its trough."""


FILLER_USE = 0.86
"""Share of the processors that a filler asks for which it uses, left alone: the mean of
8,700 looks of a day, in which three in eight used two thirds and the others all."""


@attrs.frozen(kw_only=True)
class Victim:
    """A service task: its image, and its slack if no filler were beside it."""

    image: str
    base: float


@attrs.define(kw_only=True)
class Crowd:
    """Who runs on a worker.

    Parameters
    ----------
    cores : float
        Thousandths of a core that the worker has.
    used : float
        Thousandths of a core that others than fillers are thought to use.
    filler_cpu : float
        Thousandths of a core that its fillers use at full speed.
    victims : list of Victim
        Its service tasks.
    shares : dict of str to float
        Share of its processors that fillers of each image use at full speed: one that
        is slowed wants to come back, and invites no other in its place. Those
        started throttled count at their pace: they have no claim to more.
    """

    cores: float
    used: float = 0.0
    filler_cpu: float = 0.0
    victims: list[Victim] = attrs.Factory(list)
    shares: dict[str, float] = attrs.Factory(dict)
    _slacks: list[tuple[str, float]] | None = None

    @property
    def left(self) -> float:
        """Thousandths of a core that nobody is thought to use, and that may be."""
        return BUSY_SHARE * self.cores - self.used - self.filler_cpu

    def add(self, step: Step, *, base: float, pace: int = FULL_PACE) -> None:
        """Count one more task.

        ``base`` matters for a service task only, ``pace`` in percent for a filler.
        """
        self._slacks = None
        if step.filler:
            cpu = FILLER_USE * step.demand.cpu * pace / FULL_PACE
            self.filler_cpu += cpu
            share = cpu / max(1.0, self.cores)
            self.shares[step.image] = self.shares.get(step.image, 0.0) + share
        elif step.latency_limit_ms:
            self.victims.append(Victim(image=step.image, base=base))
            self.used += SERVICE_USE * step.demand.cpu
        else:
            self.used += step.demand.cpu

    def disturbs(self, interference: Interference, step: Step) -> bool:
        """Tell whether ``step`` is thought to disturb a service task here."""
        return any(interference.is_heavy(v.image, step.image) for v in self.victims)

    def predict_slack(
        self, interference: Interference, step: Step, *, pace: int = FULL_PACE
    ) -> float:
        """Predict the least slack of those beside ``step``, or its own.

        ``pace`` in percent matters for a filler only.
        """
        if not step.filler:
            base = interference.find_base(step.image)
            return base - interference.find_cost(step.image, self.shares)
        share = FILLER_USE * step.demand.cpu / max(1.0, self.cores)
        share *= pace / FULL_PACE
        least = float("inf")
        for image, slack in self._list_slacks(interference):
            cost = interference.weigh_hopefully(image, step.image) * share
            least = min(least, slack - cost)
        return least

    def limit_filler(
        self, interference: Interference, image: str, *, least_slack: float
    ) -> float:
        """Return the most that a filler of an image may ask for, by the slack it costs.

        In thousandths of a core, at full speed; ``least_slack`` is to be left.
        """
        most = float("inf")
        for victim, slack in self._list_slacks(interference):
            spare = slack - least_slack
            weight = interference.weigh_hopefully(victim, image)
            if spare < 0.0:
                return 0.0
            if weight > 0.0:
                most = min(most, spare / weight)
        return most * self.cores / FILLER_USE

    def _list_slacks(self, interference: Interference) -> list[tuple[str, float]]:
        """Return image and slack of each service task, once for all fillers of a plan.

        Hundreds may wait, and this is most of the work of looking at a worker.
        """
        if self._slacks is None:
            self._slacks = [
                (v.image, v.base - interference.find_cost(v.image, self.shares))
                for v in self.victims
            ]
        return self._slacks


def find_step(jobs: dict[str, JobState], run: Run) -> Step | None:
    """Return the step of a run, if its job is known and has it."""
    state = jobs.get(run.task.job_id)
    if state is None or run.task.step >= len(state.job.steps):
        return None
    return state.job.steps[run.task.step]


@attrs.define(kw_only=True)
class Crowds:
    """The crowds of all workers during one plan, each counted when it is asked for.

    Parameters
    ----------
    jobs : dict of str to JobState
        The jobs of the shard.
    interference : Interference
        How much fillers disturb service tasks.
    now_ms : float
        The time of the plan, in ms.
    """

    jobs: dict[str, JobState]
    interference: Interference
    now_ms: float
    _known: dict[str, Crowd] = attrs.Factory(dict)

    def find(self, worker: Worker) -> Crowd:
        """Return the crowd of a worker."""
        crowd = self._known.get(worker.report.worker_id)
        if crowd is None:
            crowd = self._describe(worker)
            self._known[worker.report.worker_id] = crowd
        return crowd

    def recount(self) -> None:
        """Count anew, as runs were taken back."""
        self._known.clear()

    def _describe(self, worker: Worker) -> Crowd:
        """Count who runs on a worker."""
        crowd = Crowd(cores=worker.report.capacity.cpu)
        for run in worker.runs.values():
            step = find_step(self.jobs, run)
            if step is not None:
                base = self._predict_base(run, step)
                crowd.add(step, base=base, pace=run.first_pace)
        return crowd

    def _predict_base(self, run: Run, step: Step) -> float:
        if not step.latency_limit_ms:
            return 0.0
        trough = self.interference.find_trough(step.image)
        if run.track is None:
            return trough
        above = run.track.predict_base(self.now_ms + _AHEAD_MS) - trough
        return trough + _PASSING * max(0.0, above)


def learn_crowd(
    worker: Worker,
    jobs: dict[str, JobState],
    interference: Interference,
    now_ms: float,
) -> None:
    """Learn from what a worker has just listed."""
    shares: dict[str, float] = {}
    served: list[tuple[Run, Step]] = []
    cores = max(1, worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            shares[step.image] = shares.get(step.image, 0.0) + run.load / cores
        elif step.latency_limit_ms and run.percent >= _AT_WORK:
            served.append((run, step))
    worker.lagged.update(shares, now_ms)
    for run, step in served:
        _sample(run, step, worker.lagged.shares, interference, now_ms)


def _sample(
    run: Run,
    step: Step,
    shares: dict[str, float],
    interference: Interference,
    now_ms: float,
) -> None:
    """Learn from the slack of one service task, beside lagged shares of fillers."""
    track = run.track
    if track is not None and not track.is_due(now_ms):
        return
    slack = measure_slack(run.load, step.latency_limit_ms)
    if track is not None and track.is_recent(now_ms):
        interference.learn_change(
            step.image,
            before=track.shares,
            after=shares,
            slack_before=track.slack,
            slack_after=slack,
        )
    base = slack + interference.find_cost(step.image, shares)
    interference.learn_base(step.image, base)
    if track is None:
        run.track = SlackTrack(base=base, sampled_ms=now_ms, slack=slack, shares=shares)
    else:
        track.sample(slack=slack, base=base, shares=shares, now_ms=now_ms)
