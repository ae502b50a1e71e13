"""Seeded series of disruptions for batch jobs, judged at the end."""

import random

import attrs

from bench.availability.fleet import CRASHES, SILENCES
from bench.availability.series import Action

__all__ = [
    "CLOSINGS",
    "FIRST_NEWER_SEED",
    "JOB_KINDS",
    "JUDGED_AFTER_MS",
    "JobLoad",
    "JobSeries",
    "build_job_series",
]

JUDGED_AFTER_MS = 14_000.0
"""Time after the end of the traffic from which jobs are judged, in ms."""

FIRST_NEWER_SEED = 1000
"""Seed from which on there are newer series; those of lower seeds stay as they are."""

_JUDGED_MS = 12_000.0
_WARM_MS = 6000.0

CLOSINGS = ("kill all instances", "power off everything", "end all workers")
"""Disruptions at the end of the traffic."""

_COMMON_KINDS = ("darken workers", "failing workers")
JOB_KINDS = (
    *_COMMON_KINDS,
    "darken a bystander",
    "lose suspects",
    "cut workers from instances",
    "restart cut workers",
)
"""Kinds of actions that only these series have."""

_KINDS = (
    *_COMMON_KINDS,
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
    max_steps, max_count : int, optional
        Maximum number of steps of a job, and of tasks of a step without many tasks.
    is_spread : bool, optional
        Whether services have a task on each worker.
    culprits : tuple of str, optional
        What culprits do to their workers.
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
    max_steps: int = 3
    max_count: int = 6
    is_spread: bool = False
    culprits: tuple[str, ...] = (CRASHES, SILENCES)


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
    """Return the series of a seed: trouble, then a closing.

    Every fifth series is aimed at one weakness: many jobs whose fillers no service
    tolerates, waves that always hit the same bystander, culprits that silence their
    workers, or many tasks that are lost again and again.

    From `FIRST_NEWER_SEED` on every second one is aimed at runs that the owner can't
    see: workers that are cut from it and keep their entries, machines that fall silent
    soon after a loss of all power, or short jobs beside culprits that silence workers.
    """
    generator = random.Random(seed)
    if seed >= FIRST_NEWER_SEED and seed % _NEWER_AIMED_SEEDS == 0:
        build = _NEWER_AIMED[seed // _NEWER_AIMED_SEEDS % len(_NEWER_AIMED)]
        return build(seed, generator)
    if seed % _AIMED_SEEDS == 0:
        build = _AIMED[seed // _AIMED_SEEDS % len(_AIMED)]
        return build(seed, generator)
    traffic_ms = _WARM_MS + generator.choice((8000.0, 16_000.0, 26_000.0))
    actions = _build_trouble(generator, traffic_ms)
    if generator.random() < 0.6:
        actions.append(_build_closing(generator, traffic_ms))
    workers = generator.choice((6, 12, 24, 40))
    return _build_series(seed, workers, _build_load(generator), traffic_ms, actions)


def _build_series(
    seed: int,
    workers: int,
    load: JobLoad,
    traffic_ms: float,
    actions: list[Action],
) -> JobSeries:
    return JobSeries(
        seed=seed,
        workers=workers,
        instances=3,
        load=load,
        traffic_ms=traffic_ms,
        length_ms=_find_length_ms(traffic_ms),
        actions=tuple(sorted(actions, key=lambda action: action.at_ms)),
    )


def _find_length_ms(traffic_ms: float) -> float:
    return traffic_ms + JUDGED_AFTER_MS + _JUDGED_MS


def _build_closing(generator: random.Random, traffic_ms: float) -> Action:
    kind = generator.choice(CLOSINGS)
    at_ms = traffic_ms + generator.choice((-300.0, 0.0, 200.0))
    return Action(at_ms=at_ms, kind=kind, duration_ms=1000.0)


def _build_crowd(seed: int, generator: random.Random) -> JobSeries:
    """Return a series with many jobs of short fillers that no service tolerates."""
    traffic_ms = _WARM_MS + 6000.0
    load = JobLoad(
        fill=generator.choice((0.25, 0.35)),
        cost=30.0,
        jobs=generator.choice((150, 250)),
        jobs_per_s=2.0,
        filler_share=1.0,
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=0.0,
        task_ms=800.0,
        max_steps=1,
        is_spread=True,
    )
    # The owner stays, and with it what it knows of the fillers.
    closing = Action(at_ms=traffic_ms, kind="end all workers", duration_ms=1000.0)
    workers = generator.choice((24, 40))
    return _build_series(seed, workers, load, traffic_ms, [closing])


def _build_bystanders(seed: int, generator: random.Random) -> JobSeries:
    """Return a series with waves of dark workers, one task's among them each time."""
    count = generator.choice((5, 7))
    share = generator.choice((0.1, 0.2, 0.35))
    duration_ms = generator.choice((3000.0, 6000.0))
    gap_ms = 7500.0
    actions = [
        Action(
            at_ms=_WARM_MS + number * gap_ms,
            kind="darken a bystander",
            share=share,
            duration_ms=duration_ms,
        )
        for number in range(count)
    ]
    traffic_ms = _WARM_MS + count * gap_ms - 3000.0
    load = JobLoad(
        fill=0.1,
        cost=0.2,
        jobs=generator.choice((20, 60)),
        jobs_per_s=1.0,
        filler_share=generator.choice((0.0, 0.5)),
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=0.0,
        task_ms=20_000.0,
        max_steps=1,
        max_count=generator.choice((1, 4)),
    )
    workers = generator.choice((12, 24))
    return _build_series(seed, workers, load, traffic_ms, actions)


def _build_culprits(seed: int, generator: random.Random) -> JobSeries:
    """Return a long series with culprits, and with little else that ends workers."""
    traffic_ms = _WARM_MS + 60_000.0
    load = JobLoad(
        fill=0.1,
        cost=0.2,
        jobs=generator.choice((1, 3, 6)),
        jobs_per_s=0.2,
        filler_share=0.0,
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=generator.choice((0.1, 0.4)),
        task_ms=2500.0,
        max_steps=1,
        max_count=generator.choice((1, 4)),
    )
    actions = [_build_closing(generator, traffic_ms)]
    workers = generator.choice((12, 24))
    return _build_series(seed, workers, load, traffic_ms, actions)


def _build_suspects(seed: int, generator: random.Random) -> JobSeries:
    """Return a series in which the same tasks are lost again and again, then all."""
    duration_ms = 17_000.0
    traffic_ms = _WARM_MS + duration_ms
    actions = [
        Action(
            at_ms=_WARM_MS, kind="lose suspects", share=0.35, duration_ms=duration_ms
        ),
        Action(at_ms=traffic_ms, kind="end all workers", duration_ms=1000.0),
    ]
    load = JobLoad(
        fill=0.1,
        cost=0.2,
        jobs=generator.choice((14, 20)),
        jobs_per_s=0.0,
        filler_share=0.0,
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=0.0,
        task_ms=60_000.0,
        max_steps=1,
        max_count=1,
    )
    # Two workers at a time: too few for a common cause.
    return _build_series(seed, 6, load, traffic_ms, actions)


def _build_lasting_cut(seed: int, generator: random.Random) -> JobSeries:
    """Return a series with workers that keep their entries, but are cut to the end."""
    traffic_ms = _WARM_MS + generator.choice((4000.0, 8000.0))
    cut_ms = traffic_ms - generator.uniform(500.0, 4000.0)
    kinds = ("cut workers from owner", "cut workers from instances")
    actions = [
        Action(
            at_ms=cut_ms,
            kind=generator.choice(kinds),
            share=generator.choice((0.1, 0.2, 0.35)),
            duration_ms=_find_length_ms(traffic_ms) - cut_ms,
        )
    ]
    for after_ms in generator.choice(((1000.0,), (3000.0, 12_000.0), (16_000.0,))):
        restart = Action(
            at_ms=cut_ms + after_ms,
            kind="restart cut workers",
            share=0.5,
            duration_ms=700.0,
        )
        actions.append(restart)
    if generator.random() < 0.3:
        actions.append(Action(at_ms=traffic_ms + 5000.0, kind="kill owner"))
    workers = generator.choice((12, 24))
    load = _build_small_jobs(generator)
    return _build_series(seed, workers, load, traffic_ms, actions)


def _build_dark_after_power(seed: int, generator: random.Random) -> JobSeries:
    """Return a series with a loss of all power, and dark workers soon after it."""
    traffic_ms = _WARM_MS + generator.choice((4000.0, 8000.0))
    power = Action(at_ms=traffic_ms, kind="power off everything", duration_ms=1000.0)
    dark_ms = traffic_ms + generator.uniform(3000.0, 6000.0)
    dark = Action(
        at_ms=dark_ms,
        kind="darken workers",
        share=generator.choice((0.1, 0.2, 0.35)),
        duration_ms=_find_length_ms(traffic_ms) - dark_ms,
    )
    workers = generator.choice((12, 24))
    load = _build_small_jobs(generator)
    return _build_series(seed, workers, load, traffic_ms, [power, dark])


def _build_small_jobs(generator: random.Random) -> JobLoad:
    """Return jobs of one or a few tasks that last until the end."""
    return JobLoad(
        fill=0.25,
        cost=generator.choice((0.2, 4.0)),
        jobs=generator.choice((20, 40)),
        jobs_per_s=generator.choice((1.0, 3.0)),
        filler_share=generator.choice((0.5, 1.0)),
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=0.0,
        task_ms=generator.choice((8000.0, 60_000.0)),
        max_steps=generator.choice((1, 2)),
        max_count=generator.choice((1, 4)),
    )


def _build_silencing(seed: int, generator: random.Random) -> JobSeries:
    """Return a series with culprits that silence workers of small fillers."""
    traffic_ms = _WARM_MS + 10_000.0
    load = JobLoad(
        fill=0.1,
        cost=generator.choice((0.2, 4.0)),
        jobs=generator.choice((15, 40)),
        jobs_per_s=2.0,
        filler_share=1.0,
        wide_share=0.0,
        apart_share=0.0,
        culprit_share=generator.choice((0.1, 0.2)),
        task_ms=60_000.0,
        max_steps=1,
        max_count=generator.choice((1, 4)),
        culprits=(SILENCES,),
    )
    workers = generator.choice((12, 24))
    actions = []
    if generator.random() < 0.5:
        actions.append(Action(at_ms=traffic_ms, kind="kill owner"))
    return _build_series(seed, workers, load, traffic_ms, actions)


_AIMED_SEEDS = 5
_AIMED = (
    _build_crowd,
    _build_bystanders,
    _build_culprits,
    _build_crowd,
    _build_suspects,
    _build_culprits,
)
"""Builders of the series that are aimed at one weakness."""

_NEWER_AIMED_SEEDS = 2
_NEWER_AIMED = (_build_lasting_cut, _build_dark_after_power, _build_silencing)
"""Builders of the series that are aimed at runs that the owner can't see."""


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
