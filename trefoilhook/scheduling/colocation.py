"""Service tasks and fillers that share a worker, and the interference between them."""

import attrs

from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.interference import Interference
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.models import Step
from trefoilhook.scheduling.slack import SlackTrack, measure_slack

__all__ = [
    "FILLER_UTILISATION",
    "FULL_PACE",
    "MAX_UTILISATION",
    "SERVICE_UTILISATION",
    "Colocation",
    "ColocationCache",
    "Victim",
    "find_step",
    "learn_interference",
]

FULL_PACE = 100
"""Pace of a task that is not throttled, in percent."""

_SERVING_PERCENT = 100
"""Progress at which a long-running task serves requests and its tail is valid."""

SERVICE_UTILISATION = 0.5
"""Fraction of the processor time requested by service tasks that is reserved for them;
fillers use the rest. Their mean use was 0.42 to 0.45, varying by half of that."""

MAX_UTILISATION = 0.95
"""Maximum fraction of a worker's processors in use. Fillers take all processor time
that is available, and close to saturation every service task waits for a processor:
service tasks were over a limit for 2.5 % of the time with less than 0.9 of the
processors requested, and for 14 % with 1.2 of them requested."""

_PREDICTION_HORIZON_MS = 1000.0
"""A filler is placed for the base predicted this far ahead: it runs for about 2 s."""

_TRANSIENT_SHARE = 0.4
"""Fraction of the current base above its minimum that is usable by a filler. The load
varies with a period of 10 s and a filler runs for 2 s, but with several service tasks
on a worker one of them is always close to its minimum."""


FILLER_UTILISATION = 0.86
"""Fraction of the requested processors that an undisturbed filler uses: the mean of
8,700 polls, in which three in eight used two thirds and the others all."""


@attrs.frozen(kw_only=True)
class Victim:
    """A service task: its image, and its slack without fillers on the worker."""

    image: str
    base: float


@attrs.define(kw_only=True)
class Colocation:
    """Tasks that share a worker.

    Parameters
    ----------
    cores : float
        Capacity of the worker, in thousandths of a core.
    used_cpu : float
        Expected use by tasks other than fillers, in thousandths of a core.
    filler_cpu : float
        Use by fillers at full speed, in thousandths of a core.
    victims : list of Victim
        Service tasks on the worker.
    shares : dict of str to float
        Fraction of the worker's processors that fillers of each image use at full
        speed. A throttled filler counts in full, as it will be sped up again; one that
        was started throttled counts at its initial pace.
    """

    cores: float
    used_cpu: float = 0.0
    filler_cpu: float = 0.0
    victims: list[Victim] = attrs.Factory(list)
    shares: dict[str, float] = attrs.Factory(dict)
    _slacks: dict[str, float] | None = None

    @property
    def spare_cpu(self) -> float:
        """Unused thousandths of a core, up to the maximum utilisation."""
        return MAX_UTILISATION * self.cores - self.used_cpu - self.filler_cpu

    def add_task(self, step: Step, *, base: float, pace: int = FULL_PACE) -> None:
        """Add one task.

        ``base`` applies to service tasks only, ``pace`` (in percent) to fillers only.
        """
        self._slacks = None
        if step.filler:
            cpu = FILLER_UTILISATION * step.demand.cpu * pace / FULL_PACE
            self.filler_cpu += cpu
            share = cpu / max(1.0, self.cores)
            self.shares[step.image] = self.shares.get(step.image, 0.0) + share
        elif step.latency_limit_ms:
            self.victims.append(Victim(image=step.image, base=base))
            self.used_cpu += SERVICE_UTILISATION * step.demand.cpu
        else:
            self.used_cpu += step.demand.cpu

    def is_disturbed_by(self, interference: Interference, step: Step) -> bool:
        """Return whether ``step`` is expected to disturb a service task here."""
        return any(interference.is_heavy(v.image, step.image) for v in self.victims)

    def predict_slack(
        self, interference: Interference, step: Step, *, pace: int = FULL_PACE
    ) -> float:
        """Predict the minimum slack of the service tasks beside a filler.

        For a service task, predict its own slack. ``pace`` (in percent) applies to
        fillers only.
        """
        if not step.filler:
            base = interference.get_base(step.image)
            return base - interference.predict_cost(step.image, self.shares)
        share = FILLER_UTILISATION * step.demand.cpu / max(1.0, self.cores)
        share *= pace / FULL_PACE
        min_slack = float("inf")
        for image, slack in self._find_slacks(interference).items():
            cost = interference.get_optimistic_weight(image, step.image) * share
            min_slack = min(min_slack, slack - cost)
        return min_slack

    def compute_max_filler_cpu(
        self, interference: Interference, image: str, *, least_slack: float
    ) -> float:
        """Return the maximum request of a filler that leaves enough slack.

        In thousandths of a core, for a filler of ``image`` at full speed; every victim
        keeps at least ``least_slack``.
        """
        slacks = self._find_slacks(interference)
        weights = interference.get_optimistic_weights(image)
        max_share = float("inf")
        for victim, slack in slacks.items():
            weight = weights.get(victim)
            if weight is None:
                weight = interference.get_optimistic_weight(victim, image)
            spare = slack - least_slack
            if spare < 0.0:
                return 0.0
            if weight > 0.0 and spare / weight < max_share:
                max_share = spare / weight
        return max_share * self.cores / FILLER_UTILISATION

    def _find_slacks(self, interference: Interference) -> dict[str, float]:
        """Return the least slack of each service image, computed once for all fillers.

        A filler costs the same slack beside all tasks of one image. With hundreds of
        waiting fillers this is most of the cost of rating a worker.
        """
        if self._slacks is None:
            bases: dict[str, float] = {}
            for victim in self.victims:
                known = bases.get(victim.image)
                if known is None or victim.base < known:
                    bases[victim.image] = victim.base
            self._slacks = {
                image: base - interference.predict_cost(image, self.shares)
                for image, base in bases.items()
            }
        return self._slacks


def find_step(jobs: dict[str, JobState], run: Run) -> Step | None:
    """Return the step of a run, or None if its job or its step is unknown."""
    state = jobs.get(run.task.job_id)
    if state is None or run.task.step >= len(state.job.steps):
        return None
    return state.job.steps[run.task.step]


@attrs.define(kw_only=True)
class ColocationCache:
    """Colocations of all workers during one plan, computed on demand.

    Parameters
    ----------
    jobs : dict of str to JobState
        The jobs of the shard.
    interference : Interference
        Learned interference between fillers and service tasks.
    now_ms : float
        Time of the plan, in ms.
    spreads_services : bool
        Whether the tasks of a service are spread over the workers.
    """

    jobs: dict[str, JobState]
    interference: Interference
    now_ms: float
    spreads_services: bool = False
    _by_worker: dict[str, Colocation] = attrs.Factory(dict)
    _troughs: dict[str, float] = attrs.Factory(dict)

    def lookup(self, worker: Worker) -> Colocation:
        """Return the colocation of a worker."""
        colocation = self._by_worker.get(worker.report.worker_id)
        if colocation is None:
            colocation = self._build(worker)
            self._by_worker[worker.report.worker_id] = colocation
        return colocation

    def invalidate(self) -> None:
        """Discard all colocations after runs were released."""
        self._by_worker.clear()
        self._troughs.clear()

    def _build(self, worker: Worker) -> Colocation:
        """Collect the tasks that run on a worker."""
        colocation = Colocation(cores=worker.report.capacity.cpu)
        for run in worker.runs.values():
            step = find_step(self.jobs, run)
            if step is not None:
                base = self._predict_base(run, step)
                colocation.add_task(step, base=base, pace=run.initial_pace)
        return colocation

    def _predict_base(self, run: Run, step: Step) -> float:
        if not step.latency_limit_ms:
            return 0.0
        trough_slack = self._troughs.get(step.image)
        if trough_slack is None:
            trough_slack = self.interference.get_trough(step.image)
            self._troughs[step.image] = trough_slack
        if run.track is None:
            return trough_slack
        excess = (
            run.track.predict_base(self.now_ms + _PREDICTION_HORIZON_MS) - trough_slack
        )
        return trough_slack + _TRANSIENT_SHARE * max(0.0, excess)


def learn_interference(
    worker: Worker,
    jobs: dict[str, JobState],
    interference: Interference,
    now_ms: float,
) -> None:
    """Update the interference model from the last poll of a worker."""
    shares: dict[str, float] = {}
    serving: list[tuple[Run, Step]] = []
    cores = max(1, worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            shares[step.image] = shares.get(step.image, 0.0) + run.load / cores
        elif step.latency_limit_ms and run.percent >= _SERVING_PERCENT:
            serving.append((run, step))
    worker.lagged_shares.update(shares, now_ms)
    for run, step in serving:
        _learn_from_sample(run, step, worker.lagged_shares.shares, interference, now_ms)


def _learn_from_sample(
    run: Run,
    step: Step,
    shares: dict[str, float],
    interference: Interference,
    now_ms: float,
) -> None:
    """Learn from the slack of one service task and the delayed shares of fillers."""
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
    base = slack + interference.predict_cost(step.image, shares)
    interference.learn_base(step.image, base)
    if track is None:
        run.track = SlackTrack(base=base, sampled_ms=now_ms, slack=slack, shares=shares)
    else:
        track.sample(slack=slack, base=base, shares=shares, now_ms=now_ms)
