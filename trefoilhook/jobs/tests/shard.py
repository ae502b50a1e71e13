"""Worker shard on virtual time, with workers, a journal and successive owners."""

import json

import attrs
import trio
import trio.testing

from trefoilhook.clock import Clock, build_system_clock
from trefoilhook.exceptions import (
    FencedError,
    StoreUnavailableError,
    StoreUnsentError,
    TrefoilhookError,
)
from trefoilhook.instances import WorkerRecord
from trefoilhook.jobs import JobSettings, JobSpec, RecordKind, ShardRunner
from trefoilhook.placement import LATENCY_FIRST, Resources, TaskKind
from trefoilhook.standins import WorkerSettings
from trefoilhook.standins.virtual_worker import VirtualWorker, VirtualWorkerClient
from trefoilhook.workers import Resources as WorkerResources

CAPACITY = WorkerResources(cores=4.0, memory_bytes=8_000, accelerators=1)
SETTINGS = JobSettings()


@attrs.define(kw_only=True)
class MemoryJournal:
    """In-memory implementation of the journal."""

    clock: Clock
    records: list = attrs.field(factory=list)
    epoch: int = 0
    appends: int = 0
    is_down: bool = False
    # Applies only to appends that accept a job; a worker record may precede them.
    responses_to_drop: int = 0


@attrs.define(kw_only=True)
class JournalWriter:
    """Journal client of one owner."""

    journal: MemoryJournal
    epoch: int

    async def load(self):
        await self._wait()
        self.journal.epoch = max(self.journal.epoch, self.epoch)
        return list(self.journal.records)

    async def append(self, records):
        await self._wait()
        self.journal.appends += 1
        known = set(map(repr, self.journal.records))
        fresh = [record for record in records if repr(record) not in known]
        self.journal.records.extend(fresh)
        is_acceptance = any(r.kind is RecordKind.ACCEPTED for r in records)
        if is_acceptance and self.journal.responses_to_drop:
            self.journal.responses_to_drop -= 1
            raise StoreUnavailableError("the response was lost")

    async def _wait(self):
        await self.journal.clock.sleep_ms(20)
        if self.journal.is_down:
            raise StoreUnsentError("the store is down")
        if self.journal.epoch > self.epoch:
            raise FencedError("a later owner has written")


@attrs.define(kw_only=True)
class Owner:
    """One period of ownership of the shard."""

    runner: ShardRunner
    scope: trio.CancelScope
    may_act: bool = True


@attrs.define(kw_only=True)
class Shard:
    """Workers and journal of one shard, and its current owner."""

    clock: Clock
    nursery: trio.Nursery
    journal: MemoryJournal
    workers: dict[str, VirtualWorker] = attrs.field(factory=dict)
    listed: dict[str, WorkerRecord] = attrs.field(factory=dict)
    epoch: int = 0
    quota: Resources | None = None

    def add_worker(self, worker_id: str, **settings) -> VirtualWorker:
        worker = VirtualWorker(
            clock=self.clock,
            settings=WorkerSettings(worker_id=worker_id, capacity=CAPACITY, **settings),
        )
        self.workers[worker_id] = worker
        self.listed[worker_id] = WorkerRecord(
            worker_id=worker_id,
            rack="r1",
            failure_domain="a",
            host="127.0.0.1",
            port=len(self.workers),
            capacity=CAPACITY,
        )
        return worker

    def start_owner(self, owner_id: str) -> Owner:
        self.epoch += 1
        scope = trio.CancelScope()
        runner = ShardRunner(
            shard_id="wrk-000",
            epoch=self.epoch,
            owner_id=owner_id,
            may_act=lambda: owner.may_act,
            journal=JournalWriter(journal=self.journal, epoch=self.epoch),
            list_workers=lambda: tuple(self.listed.values()),
            open_worker=lambda address: VirtualWorkerClient(
                worker=self.workers[address.worker_id], owner_id=owner_id
            ),
            policy=lambda: LATENCY_FIRST,
            find_quota=lambda team: self.quota,
            clock=self.clock,
            settings=SETTINGS,
        )
        owner = Owner(runner=runner, scope=scope)
        self.nursery.start_soon(self._run, owner)
        return owner

    async def _run(self, owner: Owner) -> None:
        with owner.scope:
            await owner.runner.run()

    async def submit(self, owner: Owner, job_id: str, **changes) -> None:
        while not owner.runner.is_loaded:
            await self.clock.sleep_ms(10)
        await owner.runner.submit(build_spec(job_id, **changes))

    def list_starts(self, job_id: str):
        """Return all starts of a job, as recorded by the workers."""
        starts = [
            record
            for worker in self.workers.values()
            for record in worker.state.list_records(wall_offset_ms=0.0)
            if record.job_id == job_id
        ]
        return sorted(starts, key=lambda record: record.started_ms)

    def find_overlaps(self) -> list[str]:
        """Return the jobs that ran on two workers at the same time."""
        found = []
        ids = {
            record.job_id
            for worker in self.workers.values()
            for record in worker.state.list_records(wall_offset_ms=0.0)
        }
        for job_id in ids:
            ended_ms = float("-inf")
            for record in self.list_starts(job_id):
                if record.started_ms < ended_ms:
                    found.append(job_id)
                ended_ms = max(
                    ended_ms,
                    float("inf") if record.ended_ms is None else record.ended_ms,
                )
        return found

    async def sleep_s(self, duration_s: float) -> None:
        await self.clock.sleep_ms(duration_s * 1000.0)


def build_spec(job_id: str, **changes) -> JobSpec:
    """Build a batch job of one core that runs for ten seconds."""
    run_ms = changes.pop("run_ms", 10_000)
    is_failing = changes.pop("is_failing", False)
    values = {
        "job_id": job_id,
        "team": "carrowmore",
        "name": "roster",
        "kind": TaskKind.BATCH,
        "is_urgent": False,
        "is_idempotent": True,
        "resources": Resources(cores=1.0, memory_bytes=1_000, accelerators=0),
        "declared_run_ms": run_ms,
        "payload": json.dumps({"run_ms": run_ms, "is_failing": is_failing}),
        "task_class": "roster",
        "submitted_ms": 0.0,
    }
    return JobSpec(**{**values, **changes})


def run_shard(scenario, *, workers: int = 2) -> None:
    """Run a scenario with a number of workers on virtual time."""

    async def run() -> None:
        clock = build_system_clock()
        async with trio.open_nursery() as nursery:
            shard = Shard(
                clock=clock, nursery=nursery, journal=MemoryJournal(clock=clock)
            )
            for number in range(workers):
                shard.add_worker(f"w{number}")
            await scenario(shard)
            nursery.cancel_scope.cancel()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


async def read_error(awaitable) -> TrefoilhookError | None:
    """Await an awaitable and return the error that it raises."""
    try:
        await awaitable
    except TrefoilhookError as error:
        return error
    return None
