"""A fleet of instances and workers with the product's own code, on virtual time."""

import contextlib
import itertools
import json
import random
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import attrs
import trio

from bench.availability.network import Fault, Network, get_caller, run_as
from bench.availability.worker import LATENCY_LIMIT_MS, Behaviour, VirtualWorker
from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest
from trefoilhook.platform import Bounds, InstanceSize, ProcessSettings
from trefoilhook.runtime import Process
from trefoilhook.runtime.shard import ShardOwner
from trefoilhook.scheduling import Scheduler
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.standins import platform_documents
from trefoilhook.standins.platform_store import PlatformStore

__all__ = [
    "CRASHES",
    "PREFIXES",
    "SILENCES",
    "SPECIAL_LABEL",
    "BatchJob",
    "BatchStep",
    "Fleet",
    "Instance",
    "ServiceJob",
]

_HOST = "shop.example"
PREFIXES = ("/checks/", "/reports/")
"""Path prefixes of the queues, in the order of their priorities."""

SPECIAL_LABEL = "special"
"""Label of every third worker."""

_STORE_ADDRESS = ("10.9.0.1", 1)
_RESTART_MS = 800.0
_WORKER_RESTART_MS = 3000.0
_FAILURE_COUNTERS = frozenset({"plan_failures", "owner_failures", "call_failures"})
_BOUNDS = Bounds(
    shutdown_ms=6000.0,
    max_task_lease_ms=6000.0,
    longest_stop_ms=200.0,
    status_ms=120_000.0,
    overload_ms=4000.0,
)


@attrs.define(kw_only=True, eq=False)
class Instance:
    """A process of the product."""

    name: str
    process: Process
    stop: trio.Event = attrs.Factory(trio.Event)
    scope: trio.CancelScope = attrs.Factory(trio.CancelScope)
    has_ended: bool = False


@attrs.define(kw_only=True, eq=False)
class ServiceJob:
    """An accepted job whose tasks last.

    Parameters
    ----------
    job_id, prefix : str
        Its id, and the path prefix of its queue.
    count, cpu, mem_mb : int
        Tasks, and what each needs.
    max_per_worker : int
        Maximum number of its tasks on a worker; 0 for no limit.
    label : str
        Label of the workers that may run it; empty for all.
    accepted_ms : float
        Time of the acceptance, in ms.
    is_cancelled : bool
        Whether its cancellation was requested.
    """

    job_id: str
    count: int
    cpu: int
    mem_mb: int
    max_per_worker: int
    prefix: str = PREFIXES[0]
    label: str = ""
    accepted_ms: float = 0.0
    is_cancelled: bool = False


CRASHES = "crashes"
SILENCES = "silences"
"""What a culprit does to its worker."""


@attrs.frozen(kw_only=True)
class BatchStep:
    """A step of a batch job.

    Parameters
    ----------
    count, cpu, mem_mb : int
        Tasks, and what each needs.
    task_ms : float
        Run time of a task at full speed, in ms.
    max_per_worker : int
        Maximum number of its tasks on a worker; 0 for no limit.
    is_filler : bool
        Whether its tasks use the processors that others leave.
    image : str
        Image of the tasks.
    """

    count: int
    cpu: int
    mem_mb: int
    task_ms: float
    max_per_worker: int = 0
    is_filler: bool = False
    image: str = ""


@attrs.define(kw_only=True, eq=False)
class BatchJob:
    """A job whose tasks end.

    Parameters
    ----------
    job_id : str
        Its id.
    steps : tuple of BatchStep
        Its steps, each after the one before.
    culprit : str
        What its first task does to its workers, one of `CRASHES` and `SILENCES`; empty
        for nothing.
    harm_ms : float
        Time from the start of that task until it does so, in ms.
    accepted_ms : float or None
        Time of the acceptance, in ms; None if it has not been accepted.
    """

    job_id: str
    steps: tuple[BatchStep, ...]
    culprit: str = ""
    harm_ms: float = 0.0
    accepted_ms: float | None = None


@attrs.frozen(kw_only=True)
class CulpritRun:
    """A run that ended its worker."""

    task: str
    is_dark: bool


class Fleet:
    """The store, the workers and the instances.

    Parameters
    ----------
    nursery : Nursery
        Runs all processes.
    clock : Clock
        Time source.
    network : Network
        Their network.
    generator : Random
        Random number generator.
    """

    def __init__(
        self,
        *,
        nursery: trio.Nursery,
        clock: Clock,
        network: Network,
        generator: random.Random,
    ) -> None:
        self._nursery = nursery
        self.clock = clock
        self.network = network
        self.random = generator
        self.store = PlatformStore(clock=clock)
        self.workers: dict[str, VirtualWorker] = {}
        self.instances: list[Instance] = []
        self.services: dict[str, ServiceJob] = {}
        self.batch_jobs: dict[str, BatchJob] = {}
        self.behaviour = Behaviour(end_worker=self._end_worker)
        self.culprit_runs: list[CulpritRun] = []
        self._needs: dict[str, tuple[int, int]] = {}
        self._task_ms: dict[str, float] = {}
        self._started_instances = 0
        self._started_workers = 0
        self._jobs = 0
        self.given_up: set[str] = set()
        self._schedulers: dict[str, Scheduler] = {}

    @property
    def store_address(self) -> tuple[str, int]:
        """Address of the store."""
        return _STORE_ADDRESS

    def start_store(self) -> None:
        """Start the store with a configuration."""
        self.network.handlers[_STORE_ADDRESS] = self.store._handle_request
        self._nursery.start_soon(self.store.expire_leases)
        configuration = platform_documents.build_configuration(1, *PREFIXES, host=_HOST)
        for priority, route in enumerate(configuration["routes"]):
            route["priority"] = priority
        self.store.write("op/config", configuration)

    # Workers.

    def start_worker(self, *, cpu: int) -> VirtualWorker:
        """Start a worker at an address of its own."""
        self._started_workers += 1
        number = self._started_workers
        worker = VirtualWorker(
            worker_id=f"w{number}",
            clock=self.clock,
            address=(f"10.8.{number // 250}.{number % 250 + 1}", 8000),
            store=self.store,
            find_task_ms=self._find_task_ms,
            capacity={"cpu": cpu, "mem_mb": 128_000, "gpu": 0},
            labels=(SPECIAL_LABEL,) if number % 3 == 0 else (),
            behaviour=self.behaviour,
        )
        self.workers[worker.worker_id] = worker
        self.network.handlers[worker.address] = worker.handle
        self._nursery.start_soon(worker.run)
        return worker

    def _find_task_ms(self, task: str) -> float:
        return self._task_ms.get(task.rpartition(".")[0], 0.0)

    def find_needs(self, task: str) -> tuple[int, int]:
        """Return the counted processors (thousandths) and memory (MB) of a task."""
        return self._needs[task.rpartition(".")[0]]

    def is_batch(self, task: str) -> bool:
        """Return whether a task is one of a batch job."""
        return task.partition(".")[0] in self.batch_jobs

    def _add_step(
        self, job_id: str, *, cpu: int, mem_mb: int, task_ms: float, step: int = 0
    ) -> None:
        name = f"{job_id}.0.{step}"
        self._needs[name] = (cpu, mem_mb)
        self._task_ms[name] = task_ms

    def _end_worker(self, worker: VirtualWorker, task: str) -> None:
        """End a worker because of a task, and bring another one."""
        is_dark = self.batch_jobs[task.partition(".")[0]].culprit == SILENCES
        self.culprit_runs.append(CulpritRun(task=task, is_dark=is_dark))
        self.crash_worker(worker, is_dark=is_dark)
        self._nursery.start_soon(self._bring_back, worker, is_dark)

    async def _bring_back(self, worker: VirtualWorker, is_dark: bool) -> None:
        await self.clock.sleep_ms(_WORKER_RESTART_MS)
        if is_dark:
            self.start_worker(cpu=worker.capacity["cpu"])
        else:
            await self.restart_worker(worker)

    def list_alive(self) -> list[VirtualWorker]:
        """Return the workers that run and don't leave."""
        return [
            worker
            for worker in self.workers.values()
            if not (worker.is_powered_off or worker.is_draining)
        ]

    def crash_worker(self, worker: VirtualWorker, *, is_dark: bool) -> None:
        """End a worker's process; a dark machine refuses no connections either."""
        worker.power_off()
        if is_dark:
            self.network.set_fault("", worker.address, Fault.CUT)
        else:
            self.network.handlers.pop(worker.address, None)

    async def restart_worker(self, worker: VirtualWorker) -> None:
        """Start the process of a crashed worker again, under its id."""
        await worker.restart(down_ms=0.0)
        self.network.set_fault("", worker.address, None)
        self.network.handlers[worker.address] = worker.handle
        worker.write_entry()

    async def remove_worker(
        self, worker: VirtualWorker, *, notice_ms: float, is_dark: bool
    ) -> None:
        """Let a worker leave as planned; a dark machine refuses no connections."""
        await worker.announce_end(notice_ms=notice_ms)
        if is_dark:
            self.network.set_fault("", worker.address, Fault.CUT)
        else:
            self.network.handlers.pop(worker.address, None)
        worker.leave()

    # Instances.

    def start_instance(self) -> Instance:
        """Start an instance."""
        name = f"i{self._started_instances}"
        self._started_instances += 1
        settings = ProcessSettings(
            name=name,
            entry_address=("127.0.0.1", 0),
            readiness_address=("127.0.0.1", 0),
            store_address=_STORE_ADDRESS,
            advice_address=None,
            size=InstanceSize(),
            bounds=_BOUNDS,
        )
        instance = Instance(
            name=name, process=Process(settings=settings, clock=self.clock)
        )
        self.instances.append(instance)
        self._nursery.start_soon(run_as, name, self._run_instance, instance)
        return instance

    async def _run_instance(self, instance: Instance) -> None:
        with instance.scope:
            await instance.process.run(instance.stop)
        instance.has_ended = True

    def find_owner(self) -> Instance | None:
        """Return the instance that owns the shard, or None."""
        for instance in self.list_running():
            if instance.process.is_owner:
                return instance
        return None

    def find_scheduler(self) -> Scheduler | None:
        """Return the scheduler of the owner, or None."""
        owner = self.find_owner()
        return self._schedulers.get(owner.name) if owner is not None else None

    @contextlib.contextmanager
    def observe_owners(self) -> Iterator[None]:
        """Record the schedulers of the owners, and the jobs that they give up."""

        def build(**options: Any) -> ShardOwner:
            owner = ShardOwner(**options)
            self._schedulers[get_caller()] = owner._scheduler
            return owner

        fail_job = Scheduler.fail_job

        def record_failure(scheduler: Scheduler, state: JobState) -> None:
            self.given_up.add(state.job.job_id)
            fail_job(scheduler, state)

        with (
            mock.patch("trefoilhook.runtime.core.ShardOwner", build),
            mock.patch.object(Scheduler, "fail_job", record_failure),
        ):
            yield

    def count_failures(self) -> int:
        """Return how many unexpected errors the instances have contained."""
        return sum(
            count
            for instance in self.instances
            for (name, _), count in instance.process.metrics.counters.items()
            if name in _FAILURE_COUNTERS
        )

    def find_duplicate_runs(self) -> list[str]:
        """Return the tasks with overlapping runs, or with one after a completed one.

        A completed run whose end was not acknowledged before the worker's leases had
        expired may have been lost.
        """
        by_task: dict[str, list[_Span]] = {}
        for worker in self.workers.values():
            for record in worker.records:
                is_lapsed = (record.task, record.attempt) in worker.lapsed_ends
                span = _Span(
                    started_ms=record.started_ms,
                    ended_ms=float("inf")
                    if record.ended_ms is None
                    else record.ended_ms,
                    is_final=record.how == "done"
                    and record.acknowledged
                    and not is_lapsed,
                )
                by_task.setdefault(record.task, []).append(span)
        return [task for task, runs in by_task.items() if _overlap(runs)]

    def list_running(self) -> list[Instance]:
        """Return the instances that run and are not being stopped."""
        return [
            each
            for each in self.instances
            if not (each.has_ended or each.stop.is_set() or each.scope.cancel_called)
        ]

    def stop_instance(self, instance: Instance) -> None:
        """Stop an instance as planned, and start another one later."""
        instance.stop.set()
        self._nursery.start_soon(self._replace_instance)

    def kill_instance(self, instance: Instance) -> None:
        """Kill an instance, and start another one later."""
        instance.scope.cancel()
        self._nursery.start_soon(self._replace_instance)

    async def _replace_instance(self) -> None:
        await self.clock.sleep_ms(_RESTART_MS)
        self.start_instance()

    def set_store_fault(self, instance: Instance, fault: Fault | None) -> None:
        """Set the fault of the link from an instance to the store."""
        self.network.set_fault(instance.name, _STORE_ADDRESS, fault)

    # Clients.

    def submit_service(self, job: ServiceJob) -> None:
        """Submit a service until it is accepted."""
        step = {
            "count": job.count,
            "cpu": job.cpu,
            "mem_mb": job.mem_mb,
            "long_running": True,
            "image": "s",
            "anti_affinity": job.max_per_worker,
            "requirements": job.label,
        }
        if self.behaviour.cost:
            step["target_ms"] = LATENCY_LIMIT_MS
        self._add_step(job.job_id, cpu=job.cpu, mem_mb=job.mem_mb, task_ms=float("inf"))

        def note_acceptance() -> None:
            job.accepted_ms = self.clock.monotonic_ms()
            self.services[job.job_id] = job

        self._nursery.start_soon(
            self._submit, job.prefix + job.job_id, [step], note_acceptance
        )

    def submit_batch(self, job: BatchJob) -> None:
        """Submit a batch job until it is accepted."""
        steps = []
        for number, step in enumerate(job.steps):
            steps.append(
                {
                    "count": step.count,
                    "cpu": step.cpu,
                    "mem_mb": step.mem_mb,
                    "estimate_ms": step.task_ms,
                    "anti_affinity": step.max_per_worker,
                    "after": [number - 1] if number else [],
                    "fill_count": int(step.is_filler),
                    "image": step.image,
                    "checkpointing": step.is_filler,
                }
            )
            counted_cpu = 0 if step.is_filler else step.cpu
            self._add_step(
                job.job_id,
                cpu=counted_cpu,
                mem_mb=step.mem_mb,
                task_ms=step.task_ms,
                step=number,
            )
            self.behaviour.batch_steps.add(f"{job.job_id}.0.{number}")
            if step.is_filler:
                self.behaviour.filler_cpu[f"{job.job_id}.0.{number}"] = step.cpu
        if job.culprit:
            self.behaviour.harm_delays_ms[f"{job.job_id}.0.0.0"] = job.harm_ms

        def note_acceptance() -> None:
            job.accepted_ms = self.clock.monotonic_ms()
            self.batch_jobs[job.job_id] = job

        self.batch_jobs[job.job_id] = job
        self._nursery.start_soon(
            self._submit, PREFIXES[0] + job.job_id, steps, note_acceptance
        )

    def submit_urgent(self, *, count: int, cpu: int, duration_ms: float) -> None:
        """Submit an urgent job."""
        step = {"count": count, "cpu": cpu, "mem_mb": 8000, "estimate_ms": duration_ms}
        job_id = self.name_job()
        task_ms = duration_ms * self.random.uniform(0.6, 1.4)
        self._add_step(job_id, cpu=cpu, mem_mb=8000, task_ms=task_ms)
        self._nursery.start_soon(
            self._submit, PREFIXES[0] + job_id, [step], lambda: None
        )

    def cancel_service(self, job: ServiceJob) -> None:
        """Cancel a service."""
        job.is_cancelled = True
        self._nursery.start_soon(self._cancel, job)

    async def _cancel(self, job: ServiceJob) -> None:
        for _ in range(20):
            status = await self._send("DELETE", job.prefix + job.job_id, b"")
            if status in (200, 202, 204, 404, 410):
                return
            await self.clock.sleep_ms(500.0)

    def name_job(self) -> str:
        """Return the id of a new job."""
        self._jobs += 1
        return f"{self._jobs:016x}"

    async def _submit(
        self,
        path: str,
        steps: list[dict[str, Any]],
        note_acceptance: Callable[[], None],
    ) -> None:
        body = json.dumps({"spec": "x", "steps": steps}).encode()
        for _ in range(20):
            status = await self._send("POST", path, body)
            if 200 <= status < 300:
                note_acceptance()
                return
            await self.clock.sleep_ms(500.0)

    async def _send(self, method: str, path: str, body: bytes) -> int:
        """Send a request to some instance; return the status, 0 if there is none."""
        running = self.list_running()
        if not running:
            return 0
        instance = self.random.choice(running)
        request = HttpRequest(
            method=method,
            target=path,
            headers=(("host", _HOST), ("deadline-ms", "3000")),
            body=body,
        )
        statuses: list[int] = []

        async def answer() -> None:
            with trio.move_on_after(3.0):
                response = await instance.process._job_api.answer(request)
                statuses.append(response.status)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_as, instance.name, answer)
        return statuses[0] if statuses else 0


@attrs.frozen(kw_only=True)
class _Span:
    """A run, and whether its task must not run again."""

    started_ms: float
    ended_ms: float
    is_final: bool


def _overlap(runs: list[_Span]) -> bool:
    ordered = sorted(runs, key=lambda run: run.started_ms)
    return any(
        later.started_ms < run.ended_ms or run.is_final
        for run, later in itertools.pairwise(ordered)
    )
