"""What a soak runs: the real program as processes, and the platform's stand-ins."""

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
    "LivingWorker",
    "WORKER_CPU",
    "find_free_port",
]

WORKER_CPU = 4000
"""Thousandths of a core that a stand-in worker has."""

SERVICE = "s"

FAILURE_DOMAINS = ("z0", "z1", "z2")

DECOY = "decoy"
"""A worker that no sound entry names: nothing may run there."""

_SLOW_CLOCK = 0.98
"""A worker's own clock may be 2 % slow, by the platform's statement."""

_REBIRTH_MS = 1500.0
"""A worker that a task has crashed is back after so long, in ms."""

_ENTRY_LIFE_MS = 3000.0
"""Its entry goes so long after the crash, in ms."""

_MAX_ATTEMPTS = 1000
"""No job of a soak fails for good: the workers that fail tasks recover."""

_PORTS = range(10_000, 32_000)
"""Where instances listen: under the range (32,768 and up) from which systems give ports
to connections, so that a port is still free after its process was killed."""

_EXPECTED_EXITS = {0, -signal.SIGKILL}


def find_free_port() -> int:
    """Return a port that no connection will take while its process is down.

    Guards against an instance that can't start again after a kill: a port of the range
    that the machine hands out to connections may be some client's by then.
    """
    choices = random.SystemRandom()
    while True:
        port = choices.choice(_PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


@attrs.define(kw_only=True, eq=False)
class Instance:
    """One process of the system.

    Parameters
    ----------
    name : str
        Its name.
    port, readiness_port : int
        Where it serves clients, and tells whether it is ready.
    link : TcpCut
        Its way to the store.
    folder : Path
        Where its settings and its log are.
    process : subprocess.Popen or None
        While it runs.
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
        """Whether its process is there."""
        return self.process is not None and self.process.poll() is None

    def write_settings(self) -> None:
        """Write its settings, each time with another unknown field."""
        self.revision += 1
        settings = build_settings(
            name=self.name,
            port=self.port,
            readiness_port=self.readiness_port,
            store_port=self.link.port,
            revision=self.revision,
        )
        path = self.folder / "settings.json"
        fresh = self.folder / "settings.new"
        fresh.write_text(json.dumps(settings), encoding="utf-8")
        fresh.replace(path)

    def start(self) -> None:
        """Start its process."""
        self.write_settings()
        path = self.folder / "settings.json"
        self.started_s = time.monotonic()
        with (self.folder / "log.jsonl").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "trefoilhook"],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    @property
    def age_s(self) -> float:
        """How long ago its process was started, in s."""
        return time.monotonic() - self.started_s

    def send(self, number: signal.Signals) -> None:
        """Send its process a signal; one that is gone gets none."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


@attrs.define(kw_only=True, eq=False)
class LivingWorker:
    """One life of a worker, and the way to it."""

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
    """Store, workers and instances of one soak.

    Parameters
    ----------
    nursery : trio.Nursery
        Where they run.
    clock : Clock
        Where time comes from.
    folder : Path
        Where settings and logs go.
    task_ms : float
        Time of a task, in ms.
    """

    def __init__(
        self, *, nursery: trio.Nursery, clock: Clock, folder: Path, task_ms: float
    ) -> None:
        self._nursery = nursery
        self._clock = clock
        self._folder = folder
        self._task_ms = task_ms
        self._lives = 0
        self._version = 0
        self.prefixes: list[str] = []
        self.store = PlatformStore(clock=clock)
        self.instances: list[Instance] = []
        self.workers: dict[int, LivingWorker] = {}
        self.decoy = PlatformWorker(worker_id=DECOY, clock=clock, task_ms=task_ms)
        self.runs: dict[str, list[TaskRecord]] = {}
        self.crashes: dict[str, float] = {}
        self.sizes: dict[str, list[tuple[float, int]]] = {}
        self.failure_domains: dict[str, str] = {}
        self.evacuations: list[EvacuationRecord] = []
        self.exits: list[str] = []

    async def start(self, *, instances: int, workers: int) -> None:
        """Start everything."""
        await self._nursery.start(self.store.server.run)
        self._nursery.start_soon(self.store.expire_leases)
        self.configure()
        for place in range(workers):
            await self.start_worker(place)
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

    def configure(self) -> None:
        """Write a configuration with one more queue."""
        self._version += 3
        self.prefixes.append(f"/q{self._version}/")
        document = build_configuration(
            self._version,
            *self.prefixes,
            host="127.0.0.1",
            service=SERVICE,
            max_attempts=_MAX_ATTEMPTS,
        )
        self.store.write(CONFIGURATION_KEY, document)

    async def start_worker(self, place: int, *, link: TcpCut | None = None) -> None:
        """Start a new life of the worker at a place, and list it.

        Parameters
        ----------
        place : int
            The place.
        link : TcpCut, optional
            The way to its last life, whose address it takes; without it, it has a new
            one.
        """
        self._lives += 1
        worker_id = f"w{place}-{self._lives}"
        worker = PlatformWorker(
            worker_id=worker_id,
            clock=self._clock,
            task_ms=self._task_ms,
            rate=_SLOW_CLOCK if place % 2 else 1.0,
            failure_domain=FAILURE_DOMAINS[place % len(FAILURE_DOMAINS)],
            crashes=self.crashes,
            on_crash=lambda: self._nursery.start_soon(self._replace, place, worker_id),
        )
        scope = trio.CancelScope()
        await self._nursery.start(self._run_worker, worker, scope)
        if link is None:
            link = await self._open_link(worker.server.port)
        else:
            link.retarget(worker.server.port)
            link.set(CutSettings())
        self.workers[place] = LivingWorker(worker=worker, link=link, scope=scope)
        self.runs[worker_id] = worker.records
        self.failure_domains[worker_id] = worker.failure_domain
        self.sizes[worker_id] = [(self._clock.monotonic_ms(), WORKER_CPU)]
        self.list_worker(place)

    async def _replace(self, place: int, worker_id: str) -> None:
        """Start the next life of a worker that a task has crashed, at its address."""
        living = self.workers[place]
        if living.worker.worker_id != worker_id:
            return
        living.scope.cancel()
        living.link.set(CutSettings(partition=Partition.REFUSED))
        await living.link.reset_connections()
        await self._clock.sleep_ms(_REBIRTH_MS)
        if self.workers[place] is living:
            await self.start_worker(place, link=living.link)
        await self._clock.sleep_ms(_ENTRY_LIFE_MS - _REBIRTH_MS)
        self.unlist_worker(worker_id)

    def resize_worker(self, place: int, cpu: int) -> None:
        """Have the worker at a place report another capacity, and note it."""
        worker = self.workers[place].worker
        worker.capacity = {**worker.capacity, "cpu": cpu}
        self.sizes[worker.worker_id].append((self._clock.monotonic_ms(), cpu))
        self.list_worker(place)

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

    def list_worker(self, place: int) -> None:
        """Write the entry of the worker at a place."""
        living = self.workers[place]
        entry = living.worker.describe(SERVICE, port=living.link.port)
        self.store.write(WORKER_PREFIX + living.worker.worker_id, entry)

    def write_foreign_entry(self, worker_id: str, choices: random.Random) -> None:
        """Leave an entry of another writer at a worker's key, leading to the decoy."""
        entries = build_foreign_entries(self.decoy.describe(SERVICE))
        self.store.write_bytes(WORKER_PREFIX + worker_id, choices.choice(entries))

    async def _run_worker(
        self,
        worker: PlatformWorker,
        scope: trio.CancelScope,
        *,
        task_status: trio.TaskStatus[None],
    ) -> None:
        with scope:
            await worker.run(task_status=task_status)

    def unlist_worker(self, worker_id: str) -> None:
        """Remove the entry of a worker that is gone."""
        self.store.remove(WORKER_PREFIX + worker_id)

    def crash_worker(self, place: int) -> str:
        """End a life of a worker; its entry stays, and is to be removed later."""
        living = self.workers[place]
        living.scope.cancel()
        living.worker.power_off()
        return living.worker.worker_id

    def note_exits(self) -> None:
        """Note processes that ended as no fault explains, and start them again."""
        for instance in self.instances:
            code = instance.process.poll() if instance.process is not None else None
            if code is not None and code not in _EXPECTED_EXITS:
                self.exits.append(f"{instance.name} ended by itself with {code}")
                instance.start()

    async def close(self) -> None:
        """End the processes of the soak, each by its id."""
        for instance in self.instances:
            instance.send(signal.SIGCONT)
            instance.send(signal.SIGKILL)
            if instance.process is not None:
                await trio.to_thread.run_sync(instance.process.wait)
