"""Simulation of a series on virtual time."""

import hashlib
import itertools
import random
import types
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from typing import TypeVar
from unittest import mock

import attrs
import trio
import trio.testing

from bench.availability.fleet import Fleet
from bench.availability.job_judge import JobJudge, JobViolation
from bench.availability.job_load import submit_jobs
from bench.availability.job_series import JUDGED_AFTER_MS, JobSeries
from bench.availability.judge import Judge, Violation
from bench.availability.load import WORKER_CPU, submit_load
from bench.availability.network import Network
from bench.availability.player import Player
from bench.availability.series import AIMED_AT_SERVICES, Series
from trefoilhook.clock import Clock

__all__ = ["JobOutcome", "Outcome", "simulate", "simulate_jobs"]

_S = TypeVar("_S", Series, JobSeries)
_O = TypeVar("_O")

_DIGEST_LENGTH = 12
_EPOCH_MS = 1_700_000_000_000.0
"""Wall time at the begin of a simulation, in ms; fixed, so that a series is repeated
exactly."""


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a simulation.

    Parameters
    ----------
    violations : tuple of Violation
        Broken rules.
    longest_ms : float
        Longest wait beside capacity in calm, in ms, from 6 s after the last run.
    longest_disrupted_ms : float
        The same, also in disruptions, in ms.
    duplicates : tuple of str
        Tasks with two runs at a time, or with a run after a completed one.
    failures : int
        Number of unexpected errors that the instances contained.
    given_up : int
        Number of services that were given up although no series of losses aimed at
        one service.
    runs : int
        Number of runs.
    digest : str
        Digest of all runs, which tells whether two simulations were the same.
    """

    violations: tuple[Violation, ...]
    longest_ms: float
    longest_disrupted_ms: float
    duplicates: tuple[str, ...]
    failures: int
    given_up: int
    runs: int
    digest: str

    @property
    def is_broken(self) -> bool:
        """Whether a rule is broken."""
        return bool(
            self.violations or self.duplicates or self.failures or self.given_up
        )


@attrs.frozen(kw_only=True)
class JobOutcome:
    """Outcome of a simulation with batch jobs.

    Parameters
    ----------
    violations : tuple of JobViolation
        Jobs with nothing running although they could.
    longest_ms, longest_early_ms : float
        Longest time for which a job had nothing running although it could, when jobs
        are judged and before, in ms.
    duplicates : tuple of str
        Tasks with two runs at a time, or with a run after a completed one.
    overstarted : tuple of str
        Culprits that were started too often.
    given_up : tuple of str
        Jobs that were given up without a culprit.
    failures : int
        Number of unexpected errors that the instances contained.
    jobs, runs : int
        Number of jobs, and of runs.
    digest : str
        Digest of all runs, which tells whether two simulations were the same.
    """

    violations: tuple[JobViolation, ...]
    longest_ms: float
    longest_early_ms: float
    duplicates: tuple[str, ...]
    overstarted: tuple[str, ...]
    given_up: tuple[str, ...]
    failures: int
    jobs: int
    runs: int
    digest: str

    @property
    def is_broken(self) -> bool:
        """Whether a rule is broken."""
        return bool(
            self.violations
            or self.duplicates
            or self.overstarted
            or self.given_up
            or self.failures
        )


def _build_clock() -> Clock:
    async def sleep_ms(duration_ms: float) -> None:
        await trio.sleep(duration_ms / 1000.0)

    def read_ms() -> float:
        return trio.current_time() * 1000.0

    return Clock(
        monotonic_ms=read_ms,
        wall_ms=lambda: _EPOCH_MS + read_ms(),
        sleep_ms=sleep_ms,
    )


def _schedule_repeatably(seed: int) -> None:
    """Make trio run tasks in an order that depends on the seed alone."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)


def _seed_generators(seed: int) -> AbstractContextManager[object]:
    """Seed the generators of the probes of the store, while the result is entered."""
    numbers = itertools.count(seed)
    source = types.SimpleNamespace(Random=lambda: random.Random(next(numbers)))
    return mock.patch("trefoilhook.platform.reachability.random", source)


def simulate(series: Series) -> Outcome:
    """Simulate a series.

    It is repeated exactly only if ``PYTHONHASHSEED`` is fixed.
    """
    return _run(series, _play)


def simulate_jobs(series: JobSeries) -> JobOutcome:
    """Simulate a series with batch jobs."""
    return _run(series, _play_jobs)


def _run(series: _S, play: Callable[[_S, Fleet, trio.Nursery], Awaitable[_O]]) -> _O:
    _schedule_repeatably(series.seed)
    generator = random.Random(series.seed + 2)
    network = Network(random=generator)

    async def main() -> _O:
        async with trio.open_nursery() as nursery:
            fleet = Fleet(
                nursery=nursery,
                clock=_build_clock(),
                network=network,
                generator=generator,
            )
            with fleet.observe_owners():
                outcome = await play(series, fleet, nursery)
            nursery.cancel_scope.cancel()
        return outcome

    with network.replace_clients(), _seed_generators(series.seed):
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


async def _start_fleet(series: Series | JobSeries, fleet: Fleet) -> None:
    fleet.start_store()
    for _ in range(series.workers):
        fleet.start_worker(cpu=WORKER_CPU)
    for _ in range(series.instances):
        fleet.start_instance()
    await fleet.clock.sleep_ms(2000.0)


async def _play_actions(
    series: Series | JobSeries, fleet: Fleet, judge: Judge, nursery: trio.Nursery
) -> None:
    clock = fleet.clock
    player = Player(fleet, judge, nursery)
    began_ms = clock.monotonic_ms()
    for action in series.actions:
        await _sleep_until(clock, began_ms + action.at_ms)
        nursery.start_soon(player.play, action)
    await _sleep_until(clock, began_ms + series.length_ms)


async def _play_jobs(
    series: JobSeries, fleet: Fleet, nursery: trio.Nursery
) -> JobOutcome:
    await _start_fleet(series, fleet)
    judge = JobJudge(fleet=fleet, begin_ms=series.traffic_ms + JUDGED_AFTER_MS)
    nursery.start_soon(submit_jobs, fleet, series)
    nursery.start_soon(judge.run)
    await _play_actions(series, fleet, Judge(fleet=fleet), nursery)
    return JobOutcome(
        violations=tuple(judge.violations),
        longest_ms=judge.longest_ms,
        longest_early_ms=judge.longest_early_ms,
        duplicates=tuple(fleet.find_duplicate_runs()),
        overstarted=tuple(judge.find_overstarted(allowed=len(series.actions))),
        given_up=tuple(judge.find_given_up()),
        failures=fleet.count_failures(),
        jobs=len(fleet.batch_jobs),
        runs=sum(len(worker.records) for worker in fleet.workers.values()),
        digest=_digest_runs(fleet),
    )


async def _play(series: Series, fleet: Fleet, nursery: trio.Nursery) -> Outcome:
    await _start_fleet(series, fleet)
    judge = Judge(fleet=fleet)
    nursery.start_soon(_submit, fleet, series)
    nursery.start_soon(judge.run)
    await _play_actions(series, fleet, judge, nursery)
    return Outcome(
        violations=tuple(judge.violations),
        longest_ms=judge.longest_ms,
        longest_disrupted_ms=judge.longest_disrupted_ms,
        duplicates=tuple(fleet.find_duplicate_runs()),
        failures=fleet.count_failures(),
        given_up=0 if _aims_at_services(series) else len(fleet.given_up),
        runs=sum(len(worker.records) for worker in fleet.workers.values()),
        digest=_digest_runs(fleet),
    )


def _digest_runs(fleet: Fleet) -> str:
    digest = hashlib.sha256()
    for worker_id, worker in fleet.workers.items():
        for record in worker.records:
            digest.update(f"{worker_id} {attrs.astuple(record)}\n".encode())
    return digest.hexdigest()[:_DIGEST_LENGTH]


def _aims_at_services(series: Series) -> bool:
    return any(action.kind in AIMED_AT_SERVICES for action in series.actions)


async def _submit(fleet: Fleet, series: Series) -> None:
    await submit_load(fleet, series.load, seed=series.seed + 1, workers=series.workers)


async def _sleep_until(clock: Clock, at_ms: float) -> None:
    await clock.sleep_ms(max(0.0, at_ms - clock.monotonic_ms()))
