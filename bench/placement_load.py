"""Simulated workload: services, watchers, batch jobs, urgent and invalid jobs."""

import attrs
import numpy as np

from bench.placement_world import BATCH_CLASSES, SERVICE_CLASSES, WATCHER_CLASS
from trefoilhook.placement import Resources, TaskKind, TaskShape

__all__ = ["Arrival", "draw_arrivals"]

GIB = 2**30
SERVICE_CORES = (4.0, 6.0, 2.0)
TEAMS = ("bookings", "rosters", "kitchens", "planning")


@attrs.frozen(kw_only=True)
class Arrival:
    """A submitted task, with its true properties that placement does not see.

    Parameters
    ----------
    at_s : float
        Time of submission, in s.
    shape : TaskShape
        Task as declared by its caller.
    true_cores : float
        Cores that it uses at peak.
    noise : float
        Multiplier of its interference with other tasks.
    needed_s : float
        Run time without slowdown, in s; infinite for services and watchers.
    fails_always : bool
        Whether every attempt fails.
    """

    at_s: float
    shape: TaskShape
    true_cores: float
    noise: float
    needed_s: float
    fails_always: bool = False


def _draw_declaration_error(rng, conditions, centre):
    return float(np.exp(rng.normal(centre, conditions.misdeclared)))


def _build_service(rng, conditions, number):
    kind = number % len(SERVICE_CLASSES)
    cores = SERVICE_CORES[kind]
    return Arrival(
        at_s=float(rng.uniform(0.0, 30.0)),
        shape=TaskShape(
            task_id=f"service-{number}",
            team="bookings",
            task_class=SERVICE_CLASSES[kind],
            kind=TaskKind.SERVICE,
            urgent=False,
            resources=Resources(cores=cores, memory_bytes=8 * GIB, accelerators=0),
            declared_run_ms=0.0,
            service_target=1.1,
        ),
        true_cores=cores * _draw_declaration_error(rng, conditions, -0.3),
        noise=1.0,
        needed_s=np.inf,
    )


def _build_watcher(rng, conditions, number):
    return Arrival(
        at_s=float(rng.uniform(0.0, 600.0)),
        shape=TaskShape(
            task_id=f"watcher-{number}",
            team=TEAMS[number % len(TEAMS)],
            task_class=WATCHER_CLASS,
            kind=TaskKind.WATCHER,
            urgent=False,
            resources=Resources(cores=0.25, memory_bytes=GIB // 4, accelerators=0),
            declared_run_ms=0.0,
        ),
        true_cores=0.25 * _draw_declaration_error(rng, conditions, -0.5),
        noise=1.0,
        needed_s=np.inf,
    )


def _build_batch_job(rng, conditions, number, at_s, *, urgent=False):
    kind = int(rng.integers(len(BATCH_CLASSES)))
    cores = float(rng.choice([1.0, 2.0, 4.0, 8.0], p=[0.2, 0.4, 0.3, 0.1]))
    run_s = 120.0 if urgent else float(rng.choice([180.0, 360.0, 600.0, 900.0]))
    memory_bytes = int(cores * rng.choice([1.0, 2.0, 4.0]) * GIB)
    if not urgent and rng.random() < 0.01:
        cores = 40.0
    return Arrival(
        at_s=at_s,
        shape=TaskShape(
            task_id=f"{'urgent' if urgent else 'batch'}-{number}",
            team=TEAMS[int(rng.choice(len(TEAMS), p=[0.1, 0.4, 0.3, 0.2]))],
            task_class=BATCH_CLASSES[kind],
            kind=TaskKind.BATCH,
            urgent=urgent,
            resources=Resources(cores=cores, memory_bytes=memory_bytes, accelerators=0),
            declared_run_ms=run_s * 1000.0,
        ),
        true_cores=cores * _draw_declaration_error(rng, conditions, -0.25),
        noise=float(np.exp(rng.normal(0.0, 0.3))),
        needed_s=run_s * _draw_declaration_error(rng, conditions, 0.0),
        fails_always=not urgent and rng.random() < 0.005,
    )


MEAN_BATCH_CORE_S = 2.8 * 510.0


def draw_arrivals(user, conditions):
    """Draw every arrival of a run, ordered by time."""
    rng = np.random.default_rng([conditions.seed, 2])
    arrivals = [_build_service(rng, conditions, n) for n in range(user.services)]
    arrivals += [_build_watcher(rng, conditions, n) for n in range(user.watchers)]
    service_cores = user.services * float(np.mean(SERVICE_CORES))
    spare_cores = user.workers * user.cores - service_cores
    arrivals_per_s = user.batch_load * spare_cores / MEAN_BATCH_CORE_S
    at_s, number = 60.0, 0
    while at_s < conditions.horizon_s:
        is_rush = conditions.rush_start_s <= at_s < conditions.rush_end_s
        at_s += float(
            rng.exponential(1.0 / (arrivals_per_s * (1.3 if is_rush else 1.0)))
        )
        arrivals.append(_build_batch_job(rng, conditions, number, at_s))
        number += 1
    at_s = 300.0
    while at_s < conditions.horizon_s:
        at_s += float(rng.exponential(45.0))
        arrivals.append(_build_batch_job(rng, conditions, number, at_s, urgent=True))
        number += 1
    return sorted(arrivals, key=lambda arrival: arrival.at_s)
