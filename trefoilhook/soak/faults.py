"""Faults of a soak, injected from outside, in series and overlapping."""

import math
import random
import signal
import subprocess
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.soak.fleet import FAILURE_DOMAINS, WORKER_CPU, Fleet, Instance
from trefoilhook.standins import CutSettings, Partition, TcpCut
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import WorkerFault

__all__ = ["Faults", "InjectedFault"]

_LONGEST_S = 4.0
_SHORTEST_S = 0.3
_PAUSE_S = 0.8
"""Mean pause between two faults, in s: some four overlap."""

_RESIZE_PAUSE_S = 1.0
"""Mean pause between two changes of a worker's capacity, in s."""

_EVACUATION_PAUSE_S = 3.0
"""Mean pause between attempts to start an evacuation, in s; two may overlap."""

_SHORTEST_EVACUATION_S = 2.0
_LONGEST_EVACUATION_S = 9.0
"""Range of evacuation durations, in s; some end before the evacuation deadline."""

_EVACUATION_VALUES: tuple[Any, ...] = ({}, {}, {}, {"until_ms": 5}, ["z"], None)
"""Values of evacuation entries; each of them starts an evacuation."""

_UNLISTED_S = 2.0
"""A worker that is gone is off the list after so long, in s."""

_INTERPRETER_START_S = 0.3
"""No signal that has a handler is sent to a younger process, in s: until it runs the
program's first line, after some 20 ms, nothing can keep the signal from ending it."""

_MOST_DELAY_MS = 400.0

_FOREIGN_KEYS = 4
"""Keys of workers that never were, so that some are written over and over."""

Fault = Callable[["Faults"], Awaitable[None]]


@attrs.frozen(kw_only=True)
class InjectedFault:
    """A fault, and when it began on the clock of the soak, in ms."""

    name: str
    at_ms: float


class Faults:
    """Draws faults and undoes them.

    Parameters
    ----------
    fleet : Fleet
        What is harmed.
    clock : Clock
        Where time comes from.
    choices : random.Random
        Where chance comes from.
    sizes : random.Random
        Where chance comes from that changes the capacities of workers.
    evacuation_choices : random.Random
        Random generator for evacuations of failure domains.

    Attributes
    ----------
    injected : list of InjectedFault
        In order.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        choices: random.Random,
        sizes: random.Random,
        evacuation_choices: random.Random,
    ) -> None:
        self._evacuation_choices = evacuation_choices
        self._sizes = sizes
        self._fleet = fleet
        self._clock = clock
        self._choices = choices
        self.injected: list[InjectedFault] = []

    async def run(self, duration_s: float) -> None:
        """Inject faults for a while; return once all are undone."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._resize, duration_s)
            nursery.start_soon(self._evacuate, duration_s)
            with trio.move_on_after(duration_s):
                while True:
                    await trio.sleep(self._choices.expovariate(1.0 / _PAUSE_S))
                    fault = self._choices.choice(_FAULTS)
                    self._note(fault.__name__.strip("_"))
                    nursery.start_soon(fault, self)

    def _note(self, name: str) -> None:
        at_ms = self._clock.monotonic_ms()
        self.injected.append(InjectedFault(name=name, at_ms=at_ms))

    async def _resize(self, duration_s: float) -> None:
        """Shrink workers and let them grow again, for a while."""
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(self._sizes.expovariate(1.0 / _RESIZE_PAUSE_S))
                place = self._sizes.choice(sorted(self._fleet.workers))
                cpu = int(WORKER_CPU * self._sizes.uniform(0.1, 1.0))
                self._note(f"resize worker {place} to {cpu}")
                self._fleet.resize_worker(place, cpu)
        for place in self._fleet.workers:
            self._fleet.resize_worker(place, WORKER_CPU)

    async def _evacuate(self, duration_s: float) -> None:
        """Start evacuations at random for a while; return once all have ended."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    pause_s = self._evacuation_choices.expovariate(
                        1.0 / _EVACUATION_PAUSE_S
                    )
                    await trio.sleep(pause_s)
                    nursery.start_soon(self._evacuate_failure_domain)

    async def _evacuate_failure_domain(self) -> None:
        failure_domain = self._evacuation_choices.choice(FAILURE_DOMAINS)
        value = self._evacuation_choices.choice(_EVACUATION_VALUES)
        evacuation_s = self._evacuation_choices.uniform(
            _SHORTEST_EVACUATION_S, _LONGEST_EVACUATION_S
        )
        if any(
            record.failure_domain == failure_domain and record.ended_ms == math.inf
            for record in self._fleet.evacuations
        ):
            return
        self._note(f"evacuate {failure_domain}")
        record = self._fleet.begin_evacuation(failure_domain, value)
        await trio.sleep(evacuation_s)
        self._fleet.end_evacuation(record)

    async def last(self) -> None:
        """Let a fault last for a while."""
        await trio.sleep(self._choices.uniform(_SHORTEST_S, _LONGEST_S))

    def draw_instance(self) -> Instance:
        """Choose an instance."""
        return self._choices.choice(self._fleet.instances)

    def draw_worker(self) -> int:
        """Choose the place of a worker."""
        return self._choices.choice(sorted(self._fleet.workers))

    @property
    def fleet(self) -> Fleet:
        """What is harmed."""
        return self._fleet

    @property
    def choices(self) -> random.Random:
        """Where chance comes from."""
        return self._choices


async def _restart(instance: Instance, ended: subprocess.Popen[bytes] | None) -> None:
    """Start an instance again once a process of it is gone, as the platform would.

    Another fault may have done so meanwhile.
    """
    while instance.process is ended and instance.is_running:
        await trio.sleep(0.05)
    if instance.process is ended:
        instance.start()


async def _kill_instance(faults: Faults) -> None:
    instance = faults.draw_instance()
    killed = instance.process
    instance.send(signal.SIGKILL)
    await faults.last()
    await _restart(instance, killed)


async def _kill_all(faults: Faults) -> None:
    killed = [(each, each.process) for each in faults.fleet.instances]
    for instance, _ in killed:
        instance.send(signal.SIGKILL)
    await faults.last()
    for instance, process in killed:
        await _restart(instance, process)


async def _stop_instance(faults: Faults) -> None:
    instance = faults.draw_instance()
    stopped = instance.process
    if instance.age_s < _INTERPRETER_START_S:
        return
    instance.send(signal.SIGTERM)
    await _restart(instance, stopped)


async def _freeze_instance(faults: Faults) -> None:
    instance = faults.draw_instance()
    frozen = instance.process
    instance.send(signal.SIGSTOP)
    await faults.last()
    if instance.process is frozen:
        instance.send(signal.SIGCONT)


async def _reload_instance(faults: Faults) -> None:
    instance = faults.draw_instance()
    instance.write_settings()
    if instance.age_s > _INTERPRETER_START_S:
        instance.send(signal.SIGHUP)


async def _harm_store(faults: Faults) -> None:
    store = faults.fleet.store
    store.fault = faults.choices.choice(
        (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS)
    )
    await faults.last()
    store.fault = StoreFault.NONE


async def _forget_history(faults: Faults) -> None:
    faults.fleet.store.forget_history()


async def _change_configuration(faults: Faults) -> None:
    faults.fleet.configure()


async def _harm_link(faults: Faults, link: TcpCut) -> None:
    kind = faults.choices.choice(("partition", "delay", "forget", "reset"))
    if kind == "forget":
        link.forget_connections()
        return
    if kind == "reset":
        await link.reset_connections()
        return
    if kind == "delay":
        link.set(CutSettings(delay_ms=faults.choices.uniform(5.0, _MOST_DELAY_MS)))
    else:
        partitions = [each for each in Partition if each is not Partition.NONE]
        link.set(CutSettings(partition=faults.choices.choice(partitions)))
    await faults.last()
    link.set(CutSettings())


async def _harm_store_link(faults: Faults) -> None:
    await _harm_link(faults, faults.draw_instance().link)


async def _harm_worker_link(faults: Faults) -> None:
    await _harm_link(faults, faults.fleet.workers[faults.draw_worker()].link)


async def _harm_worker(faults: Faults) -> None:
    worker = faults.fleet.workers[faults.draw_worker()].worker
    worker.fault = faults.choices.choice(
        (WorkerFault.SILENT, WorkerFault.FAILS_TASKS, WorkerFault.LATE_STARTS)
    )
    await faults.last()
    worker.fault = WorkerFault.NONE


async def _crash_worker(faults: Faults) -> None:
    place = faults.draw_worker()
    worker_id = faults.fleet.crash_worker(place)
    await faults.last()
    if faults.fleet.workers[place].worker.worker_id == worker_id:
        await faults.fleet.start_worker(place)
    await trio.sleep(_UNLISTED_S)
    faults.fleet.unlist_worker(worker_id)


async def _write_foreign_entry(faults: Faults) -> None:
    worker_id = f"x{faults.choices.randrange(_FOREIGN_KEYS)}"
    faults.fleet.write_foreign_entry(worker_id, faults.choices)
    await faults.last()
    faults.fleet.unlist_worker(worker_id)


async def _overwrite_worker(faults: Faults) -> None:
    """Overwrite the entry of a worker, until its next heartbeat."""
    place = faults.draw_worker()
    worker_id = faults.fleet.workers[place].worker.worker_id
    faults.fleet.write_foreign_entry(worker_id, faults.choices)
    await faults.last()
    if faults.fleet.workers[place].worker.worker_id == worker_id:
        faults.fleet.list_worker(place)


_FAULTS: tuple[Fault, ...] = (
    _kill_instance,
    _kill_instance,
    _kill_all,
    _stop_instance,
    _freeze_instance,
    _freeze_instance,
    _reload_instance,
    _harm_store,
    _harm_store,
    _forget_history,
    _change_configuration,
    _harm_store_link,
    _harm_store_link,
    _harm_worker_link,
    _harm_worker_link,
    _harm_worker,
    _crash_worker,
    _write_foreign_entry,
    _overwrite_worker,
)
