"""Seeded series of disruptions and planned work, and their simulation."""

import random
from collections.abc import Awaitable, Callable, Sequence

import attrs
import trio
import trio.testing

from bench.availability.fleet import Fleet, ServiceJob
from bench.availability.judge import Judge, Violation
from bench.availability.network import Fault, Network
from trefoilhook.clock import Clock
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import WorkerFault

__all__ = ["Action", "Outcome", "Series", "build_series", "simulate"]

_EPOCH_MS = 1_700_000_000_000.0
"""Wall time at the begin of a simulation, in ms; fixed, so that a series is repeated
exactly."""

_CALM_MS = 17_000.0
_WARM_MS = 8000.0


@attrs.frozen(kw_only=True)
class Action:
    """One disruption or planned action.

    Parameters
    ----------
    at_ms : float
        Time since the begin, in ms.
    kind : str
        Name of the action, a key of ``_ACTIONS``.
    share : float
        Fraction of the workers concerned.
    duration_ms : float
        Duration, in ms.
    """

    at_ms: float
    kind: str
    share: float = 0.0
    duration_ms: float = 0.0


@attrs.frozen(kw_only=True)
class Series:
    """A series of actions on a fleet.

    Parameters
    ----------
    seed : int
        Seed of the load and of the choices.
    workers, instances : int
        Number of workers and instances.
    fill : float
        Processors that services ask for, as a fraction of the capacity.
    urgent_per_s : float
        Urgent jobs a second.
    length_ms : float
        Duration, in ms.
    actions : tuple of Action
        The actions.
    """

    seed: int
    workers: int
    instances: int
    fill: float
    urgent_per_s: float
    length_ms: float
    actions: tuple[Action, ...]


@attrs.frozen(kw_only=True)
class Outcome:
    """Outcome of a simulation.

    Parameters
    ----------
    violations : tuple of Violation
        Broken rules.
    longest_ms : float
        Longest wait beside capacity in calm, in ms, from 6 s after the last run.
    duplicates : tuple of str
        Tasks with two runs at a time.
    claims : int
        Number of owners.
    """

    violations: tuple[Violation, ...]
    longest_ms: float
    judged: int
    duplicates: tuple[str, ...]
    runs: int


_PLANNED = ("stop owner", "drain workers", "add workers", "cancel services")
_UNPLANNED = (
    "kill owner",
    "crash workers",
    "lose workers",
    "cut workers",
    "cut workers one way",
    "lossy workers",
    "cut workers from owner",
    "cut owner from store",
    "store busy",
    "store silent",
    "late starts",
    "flap workers",
)


def build_series(seed: int) -> Series:
    """Return the series of a seed: blocks of trouble, each followed by calm."""
    generator = random.Random(seed)
    at_ms = _WARM_MS
    actions: list[Action] = []
    for _ in range(generator.randint(1, 3)):
        is_planned = generator.random() < 0.3
        kinds = _PLANNED if is_planned else _UNPLANNED + _PLANNED + ("kill owner",) * 3
        begin_ms = at_ms
        for _ in range(generator.randint(1, 5)):
            action = Action(
                at_ms=at_ms,
                kind=generator.choice(kinds),
                share=generator.choice((0.1, 0.2, 0.35, 0.6)),
                duration_ms=generator.uniform(500.0, 6500.0),
            )
            actions.append(action)
            at_ms += generator.choice((100.0, 700.0, 1500.0, 2500.0, 5000.0))
        del begin_ms
        at_ms += 6500.0 + _CALM_MS
    return Series(
        seed=seed,
        workers=generator.choice((6, 10, 16)),
        instances=3,
        fill=generator.choice((0.4, 0.7, 0.9, 1.1)),
        urgent_per_s=generator.choice((0.0, 1.0, 3.0)),
        length_ms=at_ms,
        actions=tuple(actions),
    )


class _Player:
    """Plays the actions of a series."""

    def __init__(self, fleet: Fleet, judge: Judge, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._judge = judge
        self._nursery = nursery

    async def play(self, action: Action) -> None:
        """Play an action to its end."""
        await _ACTIONS[action.kind](self, action)

    def _disrupt(self, duration_ms: float = 0.0) -> None:
        until_ms = self._fleet.clock.monotonic_ms() + duration_ms
        self._judge.disrupted_until_ms = max(self._judge.disrupted_until_ms, until_ms)

    def _choose(self, share: float) -> list:
        alive = self._fleet.list_alive()
        count = min(len(alive) - 1, max(1, round(share * len(alive))))
        return self._fleet.random.sample(alive, max(0, count))

    async def stop_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            self._fleet.stop_instance(owner)

    async def kill_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            self._disrupt(1000.0)
            self._fleet.kill_instance(owner)

    async def drain_workers(self, action: Action) -> None:
        for worker in self._choose(min(action.share, 0.2)):
            self._nursery.start_soon(self._drain, worker)

    async def _drain(self, worker) -> None:
        cpu = worker.capacity["cpu"]
        await self._fleet.remove_worker(worker, notice_ms=10_000.0)
        self._fleet.start_worker(cpu=cpu)

    async def add_workers(self, action: Action) -> None:
        self._fleet.start_worker(cpu=32_000)

    async def cancel_services(self, action: Action) -> None:
        open_jobs = [j for j in self._fleet.services.values() if not j.is_cancelled]
        if len(open_jobs) > 1:
            self._fleet.cancel_service(self._fleet.random.choice(open_jobs))

    async def crash_workers(self, action: Action) -> None:
        workers = self._choose(action.share)
        self._disrupt(action.duration_ms)
        for worker in workers:
            self._fleet.crash_worker(worker, is_dark=False)
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            await self._fleet.restart_worker(worker)

    async def lose_workers(self, action: Action) -> None:
        workers = self._choose(min(action.share, 0.35))
        self._disrupt(500.0)
        for worker in workers:
            self._fleet.crash_worker(worker, is_dark=True)
        await self._fleet.clock.sleep_ms(4000.0)
        for worker in workers:
            self._fleet.start_worker(cpu=worker.capacity["cpu"])

    async def flap_workers(self, action: Action) -> None:
        workers = self._choose(min(action.share, 0.35))
        self._disrupt(action.duration_ms + 700.0)
        until_ms = self._fleet.clock.monotonic_ms() + action.duration_ms
        while self._fleet.clock.monotonic_ms() < until_ms:
            for worker in workers:
                self._fleet.crash_worker(worker, is_dark=False)
            await self._fleet.clock.sleep_ms(700.0)
            for worker in workers:
                await self._fleet.restart_worker(worker)
            await self._fleet.clock.sleep_ms(700.0)

    async def _cut(
        self, action: Action, fault: Fault, caller: str, *, reaches_store: bool
    ) -> None:
        workers = self._choose(action.share)
        self._disrupt(action.duration_ms)
        for worker in workers:
            self._fleet.network.set_fault(caller, worker.address, fault)
            worker.reaches_store = reaches_store
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            if not worker.is_powered_off:
                self._fleet.network.set_fault(caller, worker.address, None)
            worker.reaches_store = True

    async def cut_workers(self, action: Action) -> None:
        await self._cut(action, Fault.CUT, "", reaches_store=False)

    async def cut_workers_one_way(self, action: Action) -> None:
        await self._cut(action, Fault.ONE_WAY, "", reaches_store=True)

    async def lossy_workers(self, action: Action) -> None:
        await self._cut(action, Fault.LOSSY, "", reaches_store=True)

    async def cut_workers_from_owner(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is not None:
            await self._cut(action, Fault.CUT, owner.name, reaches_store=True)

    async def cut_owner_from_store(self, action: Action) -> None:
        owner = self._fleet.find_owner()
        if owner is None:
            return
        self._disrupt(action.duration_ms)
        self._fleet.set_store_fault(owner, Fault.CUT)
        await self._fleet.clock.sleep_ms(action.duration_ms)
        self._fleet.set_store_fault(owner, None)

    async def _fail_store(self, action: Action, fault: object) -> None:
        self._disrupt(action.duration_ms)
        self._fleet.store.fault = fault
        await self._fleet.clock.sleep_ms(action.duration_ms)
        self._fleet.store.fault = StoreFault.NONE

    async def store_busy(self, action: Action) -> None:
        await self._fail_store(action, StoreFault.BUSY)

    async def store_silent(self, action: Action) -> None:
        await self._fail_store(action, StoreFault.SILENT)

    async def late_starts(self, action: Action) -> None:
        workers = self._choose(action.share)
        self._disrupt(action.duration_ms + 600.0)
        for worker in workers:
            worker.fault = WorkerFault.LATE_STARTS
        await self._fleet.clock.sleep_ms(action.duration_ms)
        for worker in workers:
            worker.fault = WorkerFault.NONE


_ACTIONS: dict[str, Callable[[_Player, Action], Awaitable[None]]] = {
    kind: getattr(_Player, kind.replace(" ", "_")) for kind in _PLANNED + _UNPLANNED
}


async def _submit_load(fleet: Fleet, series: Series) -> None:
    generator = random.Random(series.seed + 1)
    capacity = series.workers * 32_000
    asked = 0.0
    while asked < series.fill * capacity:
        job = _build_service(fleet, generator)
        fleet.submit_service(job)
        asked += job.count * job.cpu
    next_ms = fleet.clock.monotonic_ms()
    while True:
        await fleet.clock.sleep_ms(200.0)
        now_ms = fleet.clock.monotonic_ms()
        while series.urgent_per_s and next_ms <= now_ms:
            next_ms += generator.expovariate(series.urgent_per_s) * 1000.0
            fleet.submit_urgent(
                count=generator.randint(1, 10),
                cpu=round(min(12_000, generator.lognormvariate(8.3, 0.45))),
                duration_ms=generator.choice((400.0, 640.0, 1600.0)),
            )


def _build_service(fleet: Fleet, generator: random.Random) -> ServiceJob:
    return ServiceJob(
        job_id=fleet.name_job(),
        count=generator.randint(2, 14),
        cpu=round(min(10_000, generator.lognormvariate(8.73, 0.25))),
        mem_mb=generator.randint(6000, 26_000),
        max_per_worker=generator.choice((0, 0, 2, 3)),
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


def simulate(series: Series) -> Outcome:
    """Simulate a series.

    It is repeated exactly only if ``PYTHONHASHSEED`` is fixed.
    """
    _schedule_repeatably(series.seed)
    generator = random.Random(series.seed + 2)
    network = Network(random=generator)

    async def main() -> Outcome:
        clock = _build_clock()
        async with trio.open_nursery() as nursery:
            fleet = Fleet(
                nursery=nursery, clock=clock, network=network, generator=generator
            )
            fleet.start_store()
            for _ in range(series.workers):
                fleet.start_worker(cpu=32_000)
            for _ in range(series.instances):
                fleet.start_instance()
            await clock.sleep_ms(2000.0)
            nursery.start_soon(_submit_load, fleet, series)
            judge = Judge(fleet=fleet)
            nursery.start_soon(judge.run)
            player = _Player(fleet, judge, nursery)
            began_ms = clock.monotonic_ms()
            for action in series.actions:
                delay_ms = began_ms + action.at_ms - clock.monotonic_ms()
                await clock.sleep_ms(max(0.0, delay_ms))
                nursery.start_soon(player.play, action)
            await clock.sleep_ms(
                max(0.0, began_ms + series.length_ms - clock.monotonic_ms())
            )
            nursery.cancel_scope.cancel()
            return Outcome(
                violations=tuple(judge.violations),
                longest_ms=judge.longest_ms,
                judged=judge.judged,
                duplicates=(),
                runs=sum(len(w.records) for w in fleet.workers.values()),
            )

    with network.replace_clients():
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
