"""Seeded series of disruptions for batch jobs, judged at the end."""

import random

import attrs

from bench.availability.series import Action

__all__ = [
    "CLOSINGS",
    "JOB_KINDS",
    "JUDGED_AFTER_MS",
    "JobLoad",
    "JobSeries",
    "build_job_series",
]

JUDGED_AFTER_MS = 14_000.0
"""Time after the end of the traffic from which jobs are judged, in ms."""

_JUDGED_MS = 12_000.0
_WARM_MS = 6000.0

CLOSINGS = ("kill all instances", "power off everything", "end all workers")
"""Disruptions at the end of the traffic."""

JOB_KINDS = ("darken workers", "failing workers")
"""Kinds of actions that only these series have."""

_KINDS = (
    *JOB_KINDS,
    "lose workers",
    "crash workers",
    "cut workers",
    "cut workers one way",
    "lossy workers",
    "flap workers",
    "late starts",
    "kill owner",
    "stop owner",
    "store busy",
    "store silent",
    "drain workers",
    "cut owner from store",
)


@attrs.frozen(kw_only=True)
class JobLoad:
    """What clients submit.

    Parameters
    ----------
    fill : float
        Processors that services ask for, as a fraction of the capacity.
    cost : float
        Slack that fillers on all processors of a worker cost a service task.
    jobs : int
        Number of batch jobs at the beginning.
    jobs_per_s : float
        Batch jobs a second until the end of the traffic.
    filler_share, wide_share, apart_share, culprit_share : float
        Fractions of the jobs of fillers, of steps with many tasks, of steps with one
        task a worker, and of jobs with a culprit.
    task_ms : float
        Mean run time of a task, in ms.
    """

    fill: float
    cost: float
    jobs: int
    jobs_per_s: float
    filler_share: float
    wide_share: float
    apart_share: float
    culprit_share: float
    task_ms: float


@attrs.frozen(kw_only=True)
class JobSeries:
    """A series of actions on a fleet with batch jobs.

    Parameters
    ----------
    seed : int
        Seed of the load and of the choices.
    workers, instances : int
        Number of workers and instances.
    load : JobLoad
        What clients submit.
    traffic_ms : float
        Time until the end of the traffic, in ms.
    length_ms : float
        Duration, in ms.
    actions : tuple of Action
        The actions.
    """

    seed: int
    workers: int
    instances: int
    load: JobLoad
    traffic_ms: float
    length_ms: float
    actions: tuple[Action, ...]


def build_job_series(seed: int) -> JobSeries:
    """Return the series of a seed: waves and other trouble, then a closing."""
    generator = random.Random(seed)
    traffic_ms = _WARM_MS + generator.choice((8000.0, 16_000.0, 26_000.0))
    actions = _build_trouble(generator, traffic_ms)
    if generator.random() < 0.6:
        kind = generator.choice(CLOSINGS)
        at_ms = traffic_ms + generator.choice((-300.0, 0.0, 200.0))
        actions.append(Action(at_ms=at_ms, kind=kind, duration_ms=1000.0))
    return JobSeries(
        seed=seed,
        workers=generator.choice((6, 12, 24, 40)),
        instances=3,
        load=_build_load(generator),
        traffic_ms=traffic_ms,
        length_ms=traffic_ms + JUDGED_AFTER_MS + _JUDGED_MS,
        actions=tuple(sorted(actions, key=lambda action: action.at_ms)),
    )


def _build_load(generator: random.Random) -> JobLoad:
    return JobLoad(
        fill=generator.choice((0.1, 0.25, 0.35, 0.42)),
        cost=generator.choice((0.2, 4.0, 11.0, 11.0, 30.0)),
        jobs=generator.choice((15, 40, 80)),
        jobs_per_s=generator.choice((0.0, 2.0, 5.0)),
        filler_share=generator.choice((0.0, 0.5, 1.0)),
        wide_share=generator.choice((0.0, 0.3)),
        apart_share=generator.choice((0.0, 0.3)),
        culprit_share=generator.choice((0.0, 0.0, 0.15)),
        task_ms=generator.choice((2500.0, 8000.0, 20_000.0)),
    )


def _build_trouble(generator: random.Random, traffic_ms: float) -> list[Action]:
    """Return waves of one kind, or several kinds of trouble, until the end."""
    if generator.random() < 0.4:
        kind = generator.choice(("darken workers", "lose workers"))
        gap_ms = generator.choice((4000.0, 7500.0))
        share = generator.choice((0.1, 0.2, 0.35))
        count = int((traffic_ms - _WARM_MS) // gap_ms) + 1
        return [
            Action(
                at_ms=_WARM_MS + number * gap_ms,
                kind=kind,
                share=share,
                duration_ms=generator.choice((3000.0, 6000.0)),
            )
            for number in range(count)
        ]
    return [
        Action(
            at_ms=generator.uniform(_WARM_MS, traffic_ms),
            kind=generator.choice(_KINDS),
            share=generator.choice((0.1, 0.2, 0.35)),
            duration_ms=generator.uniform(500.0, 8000.0),
        )
        for _ in range(generator.randint(1, 6))
    ]
