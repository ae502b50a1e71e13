"""Injection of external faults into a soak run; several may overlap."""

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

__all__ = ["FaultInjector", "InjectedFault"]

_MAX_FAULT_S = 4.0
_MIN_FAULT_S = 0.3
_MEAN_PAUSE_S = 0.8
"""Mean pause between two faults, in s; about four overlap."""

_MEAN_RESIZE_PAUSE_S = 1.0
"""Mean pause between two changes of a worker's capacity, in s."""

_MEAN_RESTART_PAUSE_S = 2.0
"""Mean pause between two restarts of workers under the same id, in s."""

_MIN_DOWNTIME_MS = 20.0
_MAX_DOWNTIME_MS = 1500.0
"""Range of the durations of such restarts, in ms: from less than the pause between two
polls to several polls, but less than the lifetime of a worker's entry."""

_PARTITIONED_RESTART_FRACTION = 0.5
"""Fraction of these restarts that occur during a network partition."""

_MAX_PARTITION_S = 2.0
"""Maximum time for which the partition outlasts the restart, in s."""

_MEAN_EVACUATION_PAUSE_S = 3.0
"""Mean pause between attempts to start an evacuation, in s; two may overlap."""

_MIN_EVACUATION_S = 2.0
_MAX_EVACUATION_S = 9.0
"""Range of evacuation durations, in s; some end before the evacuation deadline."""

_EVACUATION_VALUES: tuple[Any, ...] = ({}, {}, {}, {"until_ms": 5}, ["z"], None)
"""Values of evacuation entries; each of them starts an evacuation."""

_DEREGISTRATION_DELAY_S = 2.0
"""Delay until the entry of a crashed worker is removed, in s."""

_INTERPRETER_START_S = 0.3
"""Minimum process age for signals that the daemon handles, in s. Until the daemon has
installed its handlers, such a signal terminates the process; the interpreter alone
takes about 20 ms to reach the first line of the program."""

_MAX_DELAY_MS = 400.0

_FOREIGN_KEY_COUNT = 4
"""Number of keys for workers that do not exist; small, so that keys are overwritten."""

Fault = Callable[["FaultInjector"], Awaitable[None]]


@attrs.frozen(kw_only=True)
class InjectedFault:
    """An injected fault and its start time on the soak's clock, in ms."""

    name: str
    at_ms: float


class FaultInjector:
    """Injects random faults and reverts them.

    Parameters
    ----------
    fleet : Fleet
        Target of the faults.
    clock : Clock
        Source of time.
    rng : random.Random
        Random generator for the faults.
    resize_rng : random.Random
        Random generator for changes of worker capacity.
    evacuation_rng : random.Random
        Random generator for evacuations of failure domains.
    restart_rng : random.Random
        Random generator for restarts of workers under the same id.

    Attributes
    ----------
    injected : list of InjectedFault
        Injected faults, in order.
    """

    def __init__(
        self,
        *,
        fleet: Fleet,
        clock: Clock,
        rng: random.Random,
        resize_rng: random.Random,
        evacuation_rng: random.Random,
        restart_rng: random.Random,
    ) -> None:
        self._restart_rng = restart_rng
        self._evacuation_rng = evacuation_rng
        self._resize_rng = resize_rng
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self.injected: list[InjectedFault] = []

    async def run(self, duration_s: float) -> None:
        """Inject faults for the given time; return once all are reverted."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._resize_workers, duration_s)
            nursery.start_soon(self._run_evacuations, duration_s)
            nursery.start_soon(self._restart_workers, duration_s)
            with trio.move_on_after(duration_s):
                while True:
                    await trio.sleep(self._rng.expovariate(1.0 / _MEAN_PAUSE_S))
                    fault = self._rng.choice(_FAULTS)
                    self._record(fault.__name__.strip("_"))
                    nursery.start_soon(fault, self)

    def _record(self, name: str) -> None:
        at_ms = self._clock.monotonic_ms()
        self.injected.append(InjectedFault(name=name, at_ms=at_ms))

    async def _resize_workers(self, duration_s: float) -> None:
        """Change worker capacities at random for the given time, then restore them."""
        with trio.move_on_after(duration_s):
            while True:
                await trio.sleep(
                    self._resize_rng.expovariate(1.0 / _MEAN_RESIZE_PAUSE_S)
                )
                worker_index = self._resize_rng.choice(sorted(self._fleet.workers))
                cpu = int(WORKER_CPU * self._resize_rng.uniform(0.1, 1.0))
                self._record(f"resize worker {worker_index} to {cpu}")
                self._fleet.resize_worker(worker_index, cpu)
        for worker_index in self._fleet.workers:
            self._fleet.resize_worker(worker_index, WORKER_CPU)

    async def _restart_workers(self, duration_s: float) -> None:
        """Restart random workers under the same id for the given time."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    pause_s = self._restart_rng.expovariate(1.0 / _MEAN_RESTART_PAUSE_S)
                    await trio.sleep(pause_s)
                    nursery.start_soon(self._restart_worker)

    async def _restart_worker(self) -> None:
        rng = self._restart_rng
        worker_index = rng.choice(sorted(self._fleet.workers))
        down_ms = rng.uniform(_MIN_DOWNTIME_MS, _MAX_DOWNTIME_MS)
        is_partitioned = rng.random() < _PARTITIONED_RESTART_FRACTION
        partition_s = rng.uniform(0.0, _MAX_PARTITION_S)
        is_listed_late = rng.random() < _PARTITIONED_RESTART_FRACTION
        self._record(f"restart worker {worker_index}{' behind a cut' * is_partitioned}")
        link = self._fleet.workers[worker_index].link
        if is_partitioned:
            link.set(CutSettings(partition=Partition.SILENT))
        await self._fleet.restart_worker(worker_index, down_ms=down_ms)
        if not is_listed_late:
            self._fleet.register_worker(worker_index)
        if is_partitioned:
            await trio.sleep(partition_s)
            link.set(CutSettings())
        self._fleet.register_worker(worker_index)

    async def _run_evacuations(self, duration_s: float) -> None:
        """Start random evacuations for the given time; return once all have ended."""
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(duration_s):
                while True:
                    pause_s = self._evacuation_rng.expovariate(
                        1.0 / _MEAN_EVACUATION_PAUSE_S
                    )
                    await trio.sleep(pause_s)
                    nursery.start_soon(self._evacuate_failure_domain)

    async def _evacuate_failure_domain(self) -> None:
        failure_domain = self._evacuation_rng.choice(FAILURE_DOMAINS)
        value = self._evacuation_rng.choice(_EVACUATION_VALUES)
        evacuation_s = self._evacuation_rng.uniform(
            _MIN_EVACUATION_S, _MAX_EVACUATION_S
        )
        if any(
            record.failure_domain == failure_domain and record.ended_ms == math.inf
            for record in self._fleet.evacuations
        ):
            return
        self._record(f"evacuate {failure_domain}")
        record = self._fleet.begin_evacuation(failure_domain, value)
        await trio.sleep(evacuation_s)
        self._fleet.end_evacuation(record)

    async def wait_fault_duration(self) -> None:
        """Sleep for a random fault duration."""
        await trio.sleep(self._rng.uniform(_MIN_FAULT_S, _MAX_FAULT_S))

    def choose_instance(self) -> Instance:
        """Return a random instance."""
        return self._rng.choice(self._fleet.instances)

    def choose_worker_index(self) -> int:
        """Return the index of a random worker."""
        return self._rng.choice(sorted(self._fleet.workers))

    @property
    def fleet(self) -> Fleet:
        """Target of the faults."""
        return self._fleet

    @property
    def rng(self) -> random.Random:
        """Random generator for the faults."""
        return self._rng


async def _restart(instance: Instance, exited: subprocess.Popen[bytes] | None) -> None:
    """Restart an instance once the given process has exited, as the platform would.

    Does nothing if another fault has restarted it in the meantime.
    """
    while instance.process is exited and instance.is_running:
        await trio.sleep(0.05)
    if instance.process is exited:
        instance.start()


async def _kill_instance(injector: FaultInjector) -> None:
    instance = injector.choose_instance()
    killed = instance.process
    instance.send_signal(signal.SIGKILL)
    await injector.wait_fault_duration()
    await _restart(instance, killed)


async def _kill_all(injector: FaultInjector) -> None:
    killed = [(each, each.process) for each in injector.fleet.instances]
    for instance, _ in killed:
        instance.send_signal(signal.SIGKILL)
    await injector.wait_fault_duration()
    for instance, process in killed:
        await _restart(instance, process)


async def _stop_instance(injector: FaultInjector) -> None:
    instance = injector.choose_instance()
    stopped = instance.process
    if instance.age_s < _INTERPRETER_START_S:
        return
    instance.send_signal(signal.SIGTERM)
    await _restart(instance, stopped)


async def _freeze_instance(injector: FaultInjector) -> None:
    instance = injector.choose_instance()
    suspended = instance.process
    instance.send_signal(signal.SIGSTOP)
    await injector.wait_fault_duration()
    if instance.process is suspended:
        instance.send_signal(signal.SIGCONT)


async def _reload_instance(injector: FaultInjector) -> None:
    instance = injector.choose_instance()
    instance.write_settings()
    if instance.age_s > _INTERPRETER_START_S:
        instance.send_signal(signal.SIGHUP)


async def _harm_store(injector: FaultInjector) -> None:
    store = injector.fleet.store
    store.fault = injector.rng.choice(
        (StoreFault.BUSY, StoreFault.SILENT, StoreFault.LOSES_ANSWERS)
    )
    await injector.wait_fault_duration()
    store.fault = StoreFault.NONE


async def _forget_history(injector: FaultInjector) -> None:
    injector.fleet.store.compact_history()


async def _change_configuration(injector: FaultInjector) -> None:
    injector.fleet.write_configuration()


async def _harm_link(injector: FaultInjector, link: TcpCut) -> None:
    kind = injector.rng.choice(("partition", "delay", "forget", "reset"))
    if kind == "forget":
        link.blackhole_connections()
        return
    if kind == "reset":
        await link.reset_connections()
        return
    if kind == "delay":
        link.set(CutSettings(delay_ms=injector.rng.uniform(5.0, _MAX_DELAY_MS)))
    else:
        partitions = [each for each in Partition if each is not Partition.NONE]
        link.set(CutSettings(partition=injector.rng.choice(partitions)))
    await injector.wait_fault_duration()
    link.set(CutSettings())


async def _harm_store_link(injector: FaultInjector) -> None:
    await _harm_link(injector, injector.choose_instance().link)


async def _harm_worker_link(injector: FaultInjector) -> None:
    await _harm_link(
        injector, injector.fleet.workers[injector.choose_worker_index()].link
    )


async def _harm_worker(injector: FaultInjector) -> None:
    worker = injector.fleet.workers[injector.choose_worker_index()].worker
    worker.fault = injector.rng.choice(
        (WorkerFault.SILENT, WorkerFault.FAILS_TASKS, WorkerFault.LATE_STARTS)
    )
    await injector.wait_fault_duration()
    worker.fault = WorkerFault.NONE


async def _crash_worker(injector: FaultInjector) -> None:
    worker_index = injector.choose_worker_index()
    worker_id = injector.fleet.crash_worker(worker_index)
    await injector.wait_fault_duration()
    if injector.fleet.workers[worker_index].worker.worker_id == worker_id:
        await injector.fleet.start_worker(worker_index)
    await trio.sleep(_DEREGISTRATION_DELAY_S)
    injector.fleet.deregister_worker(worker_id)


async def _write_foreign_entry(injector: FaultInjector) -> None:
    worker_id = f"x{injector.rng.randrange(_FOREIGN_KEY_COUNT)}"
    injector.fleet.write_foreign_entry(worker_id, injector.rng)
    await injector.wait_fault_duration()
    injector.fleet.deregister_worker(worker_id)


async def _overwrite_worker(injector: FaultInjector) -> None:
    """Overwrite the entry of a worker, and restore it later."""
    worker_index = injector.choose_worker_index()
    worker_id = injector.fleet.workers[worker_index].worker.worker_id
    injector.fleet.write_foreign_entry(worker_id, injector.rng)
    await injector.wait_fault_duration()
    if injector.fleet.workers[worker_index].worker.worker_id == worker_id:
        injector.fleet.register_worker(worker_index)


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
