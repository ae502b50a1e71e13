"""Who shares a worker: the service tasks and the fillers on it."""

import attrs

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.interference import Interference, measure_slack
from trefoilhook.scheduling.models import Step

__all__ = ["Crowd", "Crowds", "Victim", "find_step", "learn_crowd"]

_AT_WORK = 100
"""Percent at which a long-running task is at work, and its tail latency counts."""

_SERVICE_USE = 0.45
"""Share of what service tasks ask for that they use on average: fillers run on the
rest. In a trial they used 0.42, swinging by half of that."""

_OFFSET_BLEND = 0.4
"""Weight of the newest look in a service task's own base: its load swings with a period
of ten seconds, and two looks a second follow it."""

_HARMLESS_COST = 0.12
"""Slack that a filler may cost any service task: a tenth of the limit."""


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
        Thousandths of a core that its fillers ask for, as paced.
    victims : list of Victim
        Its service tasks.
    shares : dict of str to float
        Share of its processors that fillers of each image ask for, as paced.
    """

    cores: float
    used: float = 0.0
    filler_cpu: float = 0.0
    victims: list[Victim] = attrs.Factory(list)
    shares: dict[str, float] = attrs.Factory(dict)
    _slacks: list[tuple[str, float]] | None = None

    @property
    def left(self) -> float:
        """Thousandths of a core that nobody is thought to use."""
        return self.cores - self.used - self.filler_cpu

    def add(self, step: Step, *, base: float, pace: int = 100) -> None:
        """Count one more task; ``base`` matters for a service task only."""
        self._slacks = None
        if step.filler:
            cpu = step.demand.cpu * pace / 100.0
            self.filler_cpu += cpu
            share = cpu / max(1.0, self.cores)
            self.shares[step.image] = self.shares.get(step.image, 0.0) + share
        elif step.latency_limit_ms:
            self.victims.append(Victim(image=step.image, base=base))
            self.used += _SERVICE_USE * step.demand.cpu
        else:
            self.used += step.demand.cpu

    def predict_slack(self, interference: Interference, step: Step) -> float:
        """Predict the least slack of those whom ``step`` would disturb, or of itself.

        A service task short of slack for other reasons keeps no filler away that
        costs it next to nothing.
        """
        if not step.filler:
            base = interference.find_base(step.image)
            return base - interference.find_cost(step.image, self.shares)
        share = step.demand.cpu / max(1.0, self.cores)
        if self._slacks is None:
            # Once for all fillers of a plan: hundreds may wait, and this is most of
            # the work of looking at a worker.
            self._slacks = [
                (v.image, v.base - interference.find_cost(v.image, self.shares))
                for v in self.victims
            ]
        least = float("inf")
        for image, slack in self._slacks:
            cost = interference.weigh_hopefully(image, step.image) * share
            if cost > _HARMLESS_COST:
                least = min(least, slack - cost)
        return least


def find_step(jobs: dict[str, JobState], run: Run) -> Step | None:
    """Return the step of a run, if its job is known."""
    state = jobs.get(run.task.job_id)
    return state.job.steps[run.task.step] if state is not None else None


@attrs.define(kw_only=True)
class Crowds:
    """The crowds of all workers during one plan, each counted when it is asked for.

    Parameters
    ----------
    jobs : dict of str to JobState
        The jobs of the shard.
    interference : Interference
        How much fillers disturb service tasks.
    """

    jobs: dict[str, JobState]
    interference: Interference
    _known: dict[str, Crowd] = attrs.Factory(dict)

    def find(self, worker: Worker) -> Crowd:
        """Return the crowd of a worker."""
        crowd = self._known.get(worker.report.worker_id)
        if crowd is None:
            crowd = _describe_crowd(worker, self.jobs, self.interference)
            self._known[worker.report.worker_id] = crowd
        return crowd

    def recount(self) -> None:
        """Count anew, as runs were taken back."""
        self._known.clear()


def _describe_crowd(
    worker: Worker, jobs: dict[str, JobState], interference: Interference
) -> Crowd:
    """Count who runs on a worker."""
    crowd = Crowd(cores=worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is not None:
            base = 0.0
            if step.latency_limit_ms:
                base = interference.find_base(step.image) + run.base_offset
            crowd.add(step, base=base, pace=run.pace)
    return crowd


def learn_crowd(
    worker: Worker, jobs: dict[str, JobState], interference: Interference
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
    slacks: dict[str, list[float]] = {}
    for run, step in served:
        slack = measure_slack(run.present_load, step.latency_limit_ms)
        # Less what the task's own load explains: what is left is the fillers' doing.
        slacks.setdefault(step.image, []).append(slack - run.base_offset)
    for image, found in slacks.items():
        interference.learn(image, shares, sum(found) / len(found))
    for run, step in served:
        slack = measure_slack(run.present_load, step.latency_limit_ms)
        offset = slack + interference.find_cost(step.image, shares)
        offset -= interference.find_base(step.image)
        run.base_offset += _OFFSET_BLEND * (offset - run.base_offset)
