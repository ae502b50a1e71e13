"""Who shares a worker: the service tasks and the fillers on it."""

import attrs

from trefoilhook.scheduling.book import JobState
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.interference import Interference, measure_strain
from trefoilhook.scheduling.models import Step

__all__ = ["Crowd", "describe_crowd", "learn_crowd"]

_AT_WORK = 100
"""Percent at which a long-running task is at work, and its tail latency counts."""

_SERVICE_USE = 0.45
"""Share of what service tasks ask for that they use on average: fillers run on the
rest. In a trial they used 0.42, swinging by half of that."""


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
    victims : set of str
        Images of its service tasks.
    shares : dict of str to float
        Share of its processors that fillers of each image ask for, as paced.
    """

    cores: float
    used: float = 0.0
    filler_cpu: float = 0.0
    victims: set[str] = attrs.Factory(set)
    shares: dict[str, float] = attrs.Factory(dict)

    @property
    def left(self) -> float:
        """Thousandths of a core that nobody is thought to use."""
        return self.cores - self.used - self.filler_cpu

    def add(self, step: Step, pace: int = 100) -> None:
        """Count one more task."""
        if step.filler:
            cpu = step.demand.cpu * pace / 100.0
            self.filler_cpu += cpu
            share = cpu / max(1.0, self.cores)
            self.shares[step.image] = self.shares.get(step.image, 0.0) + share
        elif step.latency_limit_ms:
            self.victims.add(step.image)
            self.used += _SERVICE_USE * step.demand.cpu
        else:
            self.used += step.demand.cpu

    def predict_strain(self, interference: Interference, step: Step) -> float:
        """Predict the highest strain of a service task once ``step`` joins."""
        shares = dict(self.shares)
        victims = set(self.victims)
        if step.filler:
            more = step.demand.cpu / max(1.0, self.cores)
            shares[step.image] = shares.get(step.image, 0.0) + more
        elif step.latency_limit_ms:
            victims.add(step.image)
        return max(
            (interference.predict(victim, shares) for victim in victims), default=0.0
        )


def find_step(jobs: dict[str, JobState], run: Run) -> Step | None:
    """Return the step of a run, if its job is known."""
    state = jobs.get(run.task.job_id)
    return state.job.steps[run.task.step] if state is not None else None


def describe_crowd(worker: Worker, jobs: dict[str, JobState]) -> Crowd:
    """Count who runs on a worker."""
    crowd = Crowd(cores=worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is not None:
            crowd.add(step, run.pace)
    return crowd


def learn_crowd(
    worker: Worker, jobs: dict[str, JobState], interference: Interference
) -> None:
    """Learn from what a worker has just listed."""
    shares: dict[str, float] = {}
    victims: dict[str, list[float]] = {}
    cores = max(1, worker.report.capacity.cpu)
    for run in worker.runs.values():
        step = find_step(jobs, run)
        if step is None or run.phase is not RunPhase.RUNNING:
            continue
        if step.filler:
            shares[step.image] = shares.get(step.image, 0.0) + run.load / cores
        elif step.latency_limit_ms and run.percent >= _AT_WORK:
            strain = measure_strain(run.present_load, step.latency_limit_ms)
            victims.setdefault(step.image, []).append(strain)
    if not shares:
        return
    for image, strains in victims.items():
        interference.learn(image, shares, sum(strains) / len(strains))
