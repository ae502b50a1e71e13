"""System under test: daemon processes and stand-ins for the platform's services."""

import contextlib
import json
import math
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    SETTINGS_VARIABLE,
    WORKER_PREFIX,
)
from trefoilhook.soak.logs import LOG_FILE, read_failures
from trefoilhook.standins import CutSettings, Partition, TcpCut
from trefoilhook.standins.platform_documents import (
    build_configuration,
    build_settings,
)
from trefoilhook.standins.platform_foreign import build_foreign_entries
from trefoilhook.standins.platform_store import PlatformStore
from trefoilhook.standins.platform_worker import PlatformWorker, TaskRecord

__all__ = [
    "DECOY",
    "FAILURE_DOMAINS",
    "EvacuationRecord",
    "Fleet",
    "Instance",
    "RunningWorker",
    "WORKER_CPU",
    "find_free_port",
]

WORKER_CPU = 4000
"""CPU capacity of a stand-in worker, in thousandths of a core."""

SERVICE = "s"

FAILURE_DOMAINS = ("z0", "z1", "z2")

DECOY = "decoy"
"""Id of a worker that only foreign entries refer to; no task may run on it."""

_WORKER_CLOCK_RATE = 0.98
"""Clock rate of every second worker; the platform allows clocks to run 2 % slow."""

_WORKER_RESTART_DELAY_MS = 1500.0
"""Delay until a worker that a task has crashed is restarted, in ms."""

_DEREGISTRATION_DELAY_MS = 3000.0
"""Delay from the crash until the worker's old entry is removed, in ms."""

_MAX_ATTEMPTS = 1000
"""High enough that no job fails permanently while faulty workers recover."""

_LISTEN_PORTS = range(10_000, 32_000)
"""Listening ports of instances, below the ephemeral port range (32,768 and up), so that
a port stays free after its process was killed."""

_EXPECTED_EXITS = {0, -signal.SIGKILL}


def find_free_port() -> int:
    """Return a free port outside the ephemeral port range.

    An ephemeral port could be assigned to an outgoing connection while the instance is
    down, and the instance could then not listen on it again.
    """
    rng = random.SystemRandom()
    while True:
        port = rng.choice(_LISTEN_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


@attrs.define(kw_only=True, eq=False)
class Instance:
    """One instance of the daemon, run as a process.

    Parameters
    ----------
    name : str
        Name of the instance.
    port, readiness_port : int
        Ports for clients and for readiness checks.
    link : TcpCut
        Proxy for its connections to the store.
    folder : Path
        Folder of its settings and its log.
    process : subprocess.Popen or None
        The process; None before the first start.
    """

    name: str
    port: int
    readiness_port: int
    link: TcpCut
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    revision: int = 0
    started_s: float = 0.0

    @property
    def is_running(self) -> bool:
        """Whether its process is running."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Write its settings file, with a different unknown field each time."""
        self.revision += 1
        settings = build_settings(
            name=self.name,
            port=self.port,
            readiness_port=self.readiness_port,
            store_port=self.link.port,
            revision=self.revision,
        )
        path = self.folder / "settings.json"
        temporary_path = self.folder / "settings.new"
        temporary_path.write_text(json.dumps(settings), encoding="utf-8")
        temporary_path.replace(path)

    def start(self) -> None:
        """Write its settings and start its process."""
        self.write_settings()
        path = self.folder / "settings.json"
        self.started_s = time.monotonic()
        with (self.folder / LOG_FILE).open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "trefoilhook"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def age_s(self) -> float:
        """Time since its process was started, in s."""
        return time.monotonic() - self.started_s

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if that is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@attrs.define(kw_only=True, eq=False)
class RunningWorker:
    """A running worker, and the proxy for connections to it."""

    worker: PlatformWorker
    link: TcpCut
    scope: trio.CancelScope


@attrs.define(kw_only=True)
class EvacuationRecord:
    """Evacuation of a failure domain, with its start and end times in ms."""

    failure_domain: str
    began_ms: float
    ended_ms: float = math.inf


class Fleet:
    """Store, workers and instances of a soak run.

    Parameters
    ----------
    nursery : trio.Nursery
        Nursery that runs the stand-ins.
    clock : Clock
        Source of time.
    folder : Path
        Folder for settings and logs.
    task_ms : float
        Run time of a task, in ms.
    """

    def __init__(
        self, *, nursery: trio.Nursery, clock: Clock, folder: Path, task_ms: float
    ) -> None:
        self._nursery = nursery
        self._clock = clock
        self._folder = folder
        self._task_ms = task_ms
        self._worker_count = 0
        self._configuration_version = 0
        self.queue_prefixes: list[str] = []
        self.store = PlatformStore(clock=clock)
        self.instances: list[Instance] = []
        self.workers: dict[int, RunningWorker] = {}
        self.decoy = PlatformWorker(worker_id=DECOY, clock=clock, task_ms=task_ms)
        self.runs: dict[str, list[TaskRecord]] = {}
        self.crash_delays_ms: dict[str, float] = {}
        self.capacity_history: dict[str, list[tuple[float, int]]] = {}
        self.failure_domains: dict[str, str] = {}
        self.evacuations: list[EvacuationRecord] = []
        self.unexpected_exits: list[str] = []

    async def start(self, *, instances: int, workers: int) -> None:
        """Start the store, the workers and the instances."""
        await self._nursery.start(self.store.server.run)
        self._nursery.start_soon(self.store.expire_leases)
        self.write_configuration()
        for worker_index in range(workers):
            await self.start_worker(worker_index)
        await self._nursery.start(self.decoy.run)
        self.runs[DECOY] = self.decoy.records
        for number in range(instances):
            await self._add_instance(f"i{number}")

    async def _add_instance(self, name: str) -> None:
        folder = self._folder / name
        folder.mkdir()
        link = await self._open_link(self.store.server.port)
        instance = Instance(
            name=name,
            port=find_free_port(),
            readiness_port=find_free_port(),
            link=link,
            folder=folder,
        )
        self.instances.append(instance)
        instance.start()

    async def _open_link(self, port: int) -> TcpCut:
        link = TcpCut(clock=self._clock, target_host="127.0.0.1", target_port=port)
        await self._nursery.start(link.run)
        return link

    def write_configuration(self) -> None:
        """Write a configuration with one additional queue.

        Every second configuration also gives all earlier queues other names.
        """
        self._configuration_version += 3
        self.queue_prefixes.append(f"/q{self._configuration_version}/")
        document = build_configuration(
            self._configuration_version,
            *self.queue_prefixes,
            host="127.0.0.1",
            service=SERVICE,
            max_attempts=_MAX_ATTEMPTS,
        )
        for route in document["routes"]:
            route["name"] += f"-{self._configuration_version // 6}"
        self.store.write(CONFIGURATION_KEY, document)

    async def start_worker(
        self, worker_index: int, *, link: TcpCut | None = None
    ) -> None:
        """Start a new worker at an index, and write its entry.

        Parameters
        ----------
        worker_index : int
            Index of the worker.
        link : TcpCut, optional
            Proxy of its predecessor, whose address it reuses; by default it gets a new
            one.
        """
        self._worker_count += 1
        worker_id = f"w{worker_index}-{self._worker_count}"
        worker = PlatformWorker(
            worker_id=worker_id,
            clock=self._clock,
            task_ms=self._task_ms,
            clock_rate=_WORKER_CLOCK_RATE if worker_index % 2 else 1.0,
            failure_domain=FAILURE_DOMAINS[worker_index % len(FAILURE_DOMAINS)],
            crash_delays_ms=self.crash_delays_ms,
            on_crash=lambda: self._nursery.start_soon(
                self._restart_crashed_worker, worker_index, worker_id
            ),
        )
        scope = trio.CancelScope()
        await self._nursery.start(self._run_worker, worker, scope)
        if link is None:
            link = await self._open_link(worker.server.port)
        else:
            link.set_target_port(worker.server.port)
            link.set(CutSettings())
        self.workers[worker_index] = RunningWorker(
            worker=worker, link=link, scope=scope
        )
        self.runs[worker_id] = worker.records
        self.failure_domains[worker_id] = worker.failure_domain
        self.capacity_history[worker_id] = [(self._clock.monotonic_ms(), WORKER_CPU)]
        self.register_worker(worker_index)

    async def _restart_crashed_worker(self, worker_index: int, worker_id: str) -> None:
        """Replace a worker that a task has crashed by a new one at its address."""
        current = self.workers[worker_index]
        if current.worker.worker_id != worker_id:
            return
        current.scope.cancel()
        current.link.set(CutSettings(partition=Partition.REFUSED))
        await current.link.reset_connections()
        await self._clock.sleep_ms(_WORKER_RESTART_DELAY_MS)
        if self.workers[worker_index] is current:
            await self.start_worker(worker_index, link=current.link)
        await self._clock.sleep_ms(_DEREGISTRATION_DELAY_MS - _WORKER_RESTART_DELAY_MS)
        self.deregister_worker(worker_id)

    async def restart_worker(self, worker_index: int, *, down_ms: float) -> None:
        """Restart a worker under its id; the caller must renew its entry.

        Does nothing if the worker has crashed.
        """
        current = self.workers[worker_index]
        if not current.scope.cancel_called and not current.worker.is_powered_off:
            await current.worker.restart(down_ms=down_ms)

    def resize_worker(self, worker_index: int, cpu: int) -> None:
        """Change the capacity that a worker reports, and record the change."""
        worker = self.workers[worker_index].worker
        worker.capacity = {**worker.capacity, "cpu": cpu}
        self.capacity_history[worker.worker_id].append(
            (self._clock.monotonic_ms(), cpu)
        )
        self.register_worker(worker_index)

    def begin_evacuation(self, failure_domain: str, value: Any) -> EvacuationRecord:
        """Write the evacuation entry of a failure domain, with the given value."""
        self.store.write(EVACUATION_PREFIX + failure_domain, value)
        record = EvacuationRecord(
            failure_domain=failure_domain, began_ms=self._clock.monotonic_ms()
        )
        self.evacuations.append(record)
        return record

    def end_evacuation(self, record: EvacuationRecord) -> None:
        """Remove the evacuation entry of a failure domain."""
        record.ended_ms = self._clock.monotonic_ms()
        self.store.remove(EVACUATION_PREFIX + record.failure_domain)

    def register_worker(self, worker_index: int) -> None:
        """Write the entry of a worker."""
        current = self.workers[worker_index]
        entry = current.worker.describe(SERVICE, port=current.link.port)
        self.store.write(WORKER_PREFIX + current.worker.worker_id, entry)

    def write_foreign_entry(self, worker_id: str, rng: random.Random) -> None:
        """Write a foreign entry that refers to the decoy at a worker's key."""
        entries = build_foreign_entries(self.decoy.describe(SERVICE))
        self.store.write_bytes(WORKER_PREFIX + worker_id, rng.choice(entries))

    async def _run_worker(
        self,
        worker: PlatformWorker,
        scope: trio.CancelScope,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            await worker.run(task_status=task_status)

    def deregister_worker(self, worker_id: str) -> None:
        """Remove the entry of a worker."""
        self.store.remove(WORKER_PREFIX + worker_id)

    def crash_worker(self, worker_index: int) -> str:
        """Crash a worker and return its id; the caller must remove its entry."""
        current = self.workers[worker_index]
        current.scope.cancel()
        current.worker.power_off()
        return current.worker.worker_id

    def record_unexpected_exits(self) -> None:
        """Record processes that no fault has ended, and restart them."""
        for instance in self.instances:
            code = instance.process.poll() if instance.process is not None else None
            if code is not None and code not in _EXPECTED_EXITS:
                self.unexpected_exits.append(
                    f"{instance.name} ended by itself with {code}"
                )
                instance.start()

    def list_contained_failures(self) -> list[str]:
        """Return the unexpected exceptions that instances have logged."""
        return [
            f"{instance.name} contained a failure: {line}"
            for instance in self.instances
            for line in read_failures(instance.folder / LOG_FILE)
        ]

    async def close(self) -> None:
        """Kill the processes of all instances and wait for them to exit."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
            if instance.process is not None:
                await trio.to_thread.run_sync(instance.process.wait)
