"""Costs of the journal and of the shard runner, on virtual time."""

import time

import trio
import trio.testing

from bench.capacity.fit import Slope, fit_line
from trefoilhook.clock import build_system_clock
from trefoilhook.jobs import JobSettings
from trefoilhook.jobs.messages import JobRecord, RecordKind
from trefoilhook.jobs.tests.shard import build_spec, run_shard
from trefoilhook.journal import open_journal
from trefoilhook.placement import Resources
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient

__all__ = ["measure_journal", "measure_runner"]

JOBS_PER_S = (40, 80, 160, 320)
WORKERS = (100, 200, 400, 800)
URGENT_WORKERS = (25, 50, 100)
_RUN_S = 20.0
_SETTLE_S = 5.0
_WINDOW_MS = JobSettings().commit_window_ms
_US_PER_S = 1e6


class _CountingClient(VirtualStoreClient):
    """Store client that counts writes and their bytes."""

    writes = 0
    written_bytes = 0

    async def swap(self, key, value, **more):
        self.writes += 1
        self.written_bytes += len(value or b"")
        return await super().swap(key, value, **more)


def _build_records(number):
    """Build the journal records of one idempotent job."""
    job_id = f"01980000-0000-7000-8000-{number:012x}"
    return [
        JobRecord(kind=RecordKind.ACCEPTED, job_id=job_id, spec=build_spec(job_id)),
        JobRecord(
            kind=RecordKind.ENDED,
            job_id=job_id,
            result_number=1,
            result="roster built",
            at_ms=1.75e12,
        ),
    ]


def _measure_journal(jobs_per_s):
    """Append records at a steady rate, batched by the commit window of the runner."""
    measured = {}

    async def run():
        clock = build_system_clock()
        client = _CountingClient(store=VirtualStore(clock=clock))
        journal = open_journal(store=client, shard_id="wrk-000", epoch=1, clock=clock)
        await journal.load()
        writes, written = client.writes, client.written_bytes
        cpu_s, started_ms, submitted_jobs = time.process_time(), clock.monotonic_ms(), 0
        while clock.monotonic_ms() - started_ms < _RUN_S * 1000.0:
            await clock.sleep_ms(_WINDOW_MS)
            due_jobs = int((clock.monotonic_ms() - started_ms) / 1000.0 * jobs_per_s)
            records = [
                r for n in range(submitted_jobs, due_jobs) for r in _build_records(n)
            ]
            submitted_jobs = due_jobs
            if records:
                await journal.append(records)
        measured["writes"] = (client.writes - writes) / _RUN_S
        measured["bytes"] = (client.written_bytes - written) / _RUN_S
        measured["cpu"] = (time.process_time() - cpu_s) / _RUN_S * _US_PER_S

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    return measured


def measure_journal() -> list[Slope]:
    """Measure the journal cost by the job rate of one shard."""
    measurements = [_measure_journal(rate) for rate in JOBS_PER_S]
    rows = (
        ("journal_writes", "writes", "writes", "writes/s"),
        ("journal_bytes", "bytes", "bytes written", "bytes/s"),
        ("journal_cpu", "cpu", "encoding of appended pages", "us/s"),
    )
    return [
        fit_line(
            key=key,
            role="store" if name != "cpu" else "worker shard",
            description=f"journal of one shard: {description}",
            module="journal.core",
            axis="jobs/s",
            unit=unit,
            sizes=JOBS_PER_S,
            values=[each[name] for each in measurements],
        )
        for key, name, description, unit in rows
    ]


def _measure_idle(workers):
    """Time the shard runner while its workers only renew leases."""
    measured = {}

    async def scenario(shard):
        shard.start_owner("i-1")
        await shard.sleep_s(_SETTLE_S)
        cpu_s = time.process_time()
        await shard.sleep_s(_SETTLE_S)
        measured["cpu"] = (time.process_time() - cpu_s) / _SETTLE_S * _US_PER_S

    run_shard(scenario, workers=workers)
    return measured["cpu"]


def _measure_urgent_start(workers):
    """Return the virtual time until an urgent job starts on full workers, in ms."""
    measured = {}

    async def scenario(shard):
        owner = shard.start_owner("i-1")
        for number in range(workers):
            cores = Resources(cores=4.0, memory_bytes=1_000, accelerators=0)
            spec = build_spec(f"b{number}", run_ms=600_000, resources=cores)
            shard.nursery.start_soon(_submit, shard, owner, spec)
        await shard.sleep_s(2 * _SETTLE_S)
        asked_ms = shard.clock.monotonic_ms()
        await shard.submit(owner, "urgent", is_urgent=True)
        while not shard.list_starts("urgent"):
            await shard.sleep_s(0.01)
        measured["ms"] = shard.clock.monotonic_ms() - asked_ms

    run_shard(scenario, workers=workers)
    return measured["ms"]


async def _submit(shard, owner, spec):
    while not owner.runner.is_loaded:
        await shard.clock.sleep_ms(10)
    await owner.runner.submit(spec)


def measure_runner() -> list[Slope]:
    """Measure the shard runner with virtual workers."""
    return [
        fit_line(
            key="runner_idle",
            role="worker shard",
            description="workers that only renew, stand-ins included",
            module="jobs.runner",
            axis="workers",
            unit="us/s",
            sizes=WORKERS,
            values=[_measure_idle(count) for count in WORKERS],
        ),
        fit_line(
            key="urgent_ms",
            role="worker shard",
            description="an urgent job's start on full workers",
            module="placement.preemption, jobs.runner",
            axis="workers",
            unit="ms",
            sizes=URGENT_WORKERS,
            values=[_measure_urgent_start(count) for count in URGENT_WORKERS],
        ),
    ]
