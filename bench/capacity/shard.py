"""Costs of job records and placement on the owner of a worker shard."""

import tracemalloc

import numpy as np

from bench.capacity.fit import Slope, fit_line, time_call
from trefoilhook.instances import WorkerRecord
from trefoilhook.jobs import JobRegistry
from trefoilhook.jobs.core import JobState
from trefoilhook.jobs.messages import TaskRef, TaskStatus, TaskUpdate
from trefoilhook.jobs.planner import place_waiting, react_to_reports
from trefoilhook.jobs.tests.shard import build_spec
from trefoilhook.placement import (
    LATENCY_FIRST,
    Resources,
    TaskUsage,
    UsageReport,
    WorkerShape,
)
from trefoilhook.workers import Resources as WorkerResources

__all__ = ["build_records", "measure_registry"]

WORKER_COUNTS = (100, 200, 400, 800)
JOB_COUNTS = (1_000, 2_000, 4_000, 8_000)
_TASKS_PER_WORKER = 8
_BATCH_SIZE = 200
_CORES = 32.0
_MEMORY_BYTES = 125_000_000_000
_WALL_MS = 1.75e12
_QUOTA = Resources(cores=1e9, memory_bytes=1 << 60, accelerators=0)
_ROLE = "worker shard"


def build_records(count: int) -> tuple[WorkerRecord, ...]:
    """Build instance list records of workers, eight per rack."""
    return tuple(
        WorkerRecord(
            worker_id=f"w-{number:05d}",
            rack=f"rack-{number // 8:04d}",
            failure_domain=f"fd-{number % 23:02d}",
            host="127.0.0.1",
            port=10_000 + number,
            capacity=WorkerResources(cores=_CORES, memory_bytes=_MEMORY_BYTES),
        )
        for number in range(count)
    )


class _Shard:
    """A job registry with workers, and the operations of the shard runner on it."""

    def __init__(self, *, workers):
        self.registry = JobRegistry(epoch=1)
        self.generator = np.random.default_rng(1)
        self.now_ms = 0.0
        self.count = 0
        capacity = Resources(cores=_CORES, memory_bytes=_MEMORY_BYTES, accelerators=0)
        for number in range(workers):
            shape = WorkerShape(
                worker_id=f"w-{number:05d}",
                rack=f"rack-{number // 8:04d}",
                failure_domain=f"fd-{number % 23:02d}",
                capacity=capacity,
            )
            self.registry.placement.add_worker(shape)

    def submit(self, count, **changes):
        specs = []
        for _ in range(count):
            self.count += 1
            team = f"team-{self.count % 16}"
            spec = build_spec(f"job-{self.count:08d}", team=team, **changes)
            self.registry.accept(spec)
            specs.append(spec)
        return specs

    def place(self):
        self.now_ms += 50.0
        place_waiting(
            self.registry,
            now_ms=self.now_ms,
            wall_ms=_WALL_MS + self.now_ms,
            generator=self.generator,
            policy=LATENCY_FIRST,
            find_quota=lambda team: _QUOTA,
            limit=256,
        )

    def report_status(self, orders, status):
        for batch in orders.values():
            for order in batch:
                self.registry.apply_update(
                    TaskUpdate(ref=order.ref, status=status),
                    now_ms=self.now_ms,
                    wall_ms=_WALL_MS,
                )

    def commit(self):
        commits = self.registry.take_commits()
        self.registry.confirm(commits)
        self.registry.take_orders()

    def run_tasks(self, tasks):
        remaining = tasks
        while remaining > 0:
            self.submit(min(remaining, _BATCH_SIZE))
            self.place()
            self.report_status(self.registry.take_orders(), TaskStatus.RUNNING)
            remaining -= _BATCH_SIZE
        self.commit()


def _time_lifecycle(workers):
    """Time the lifecycle of a job: accepted, placed, running, finished, committed."""
    shard = _Shard(workers=workers)
    shard.run_tasks(workers * _TASKS_PER_WORKER)

    def run_jobs():
        specs = shard.submit(_BATCH_SIZE)
        shard.place()
        orders = shard.registry.take_orders()
        shard.report_status(orders, TaskStatus.RUNNING)
        shard.report_status(orders, TaskStatus.FINISHED)
        shard.commit()
        for spec in specs:
            assert shard.registry.jobs.pop(spec.job_id).state is JobState.ENDED

    return time_call(run_jobs, min_duration_s=0.3) / _BATCH_SIZE


def _time_idle_step(jobs):
    """Time a placement step without waiting jobs."""
    shard = _Shard(workers=jobs // _TASKS_PER_WORKER)
    shard.run_tasks(jobs)
    return time_call(shard.place)


def _time_queue(jobs):
    """Time a placement step with waiting jobs and no free resources."""
    shard = _Shard(workers=200)
    shard.run_tasks(200 * int(_CORES))
    shard.submit(jobs)
    return time_call(shard.place, min_duration_s=0.2)


def _time_reports(workers):
    """Time the processing of a usage report of every worker, and the reactions."""
    shard = _Shard(workers=workers)
    shard.run_tasks(workers * _TASKS_PER_WORKER)

    def report():
        shard.now_ms += 1_000.0
        for worker_id, worker in shard.registry.placement.workers.items():
            usage = tuple(
                TaskUsage(task_id=task_id, used=task.shape.resources)
                for task_id, task in worker.residents.items()
            )
            shard.registry.placement.apply_usage_report(
                UsageReport(
                    worker_id=worker_id,
                    measured_at_ms=shard.now_ms - 5_000.0,
                    usage=usage,
                    slowdowns=(),
                ),
                shard.now_ms,
            )
        react_to_reports(shard.registry, shard.now_ms, LATENCY_FIRST)

    return time_call(report, min_duration_s=0.3)


def _time_takeover(workers):
    """Time the processing of all workers' inventories by a new owner."""
    shard = _Shard(workers=workers)
    shard.run_tasks(workers * _TASKS_PER_WORKER)
    by_worker: dict[str, list[TaskUpdate]] = {}
    for job in shard.registry.jobs.values():
        ref = TaskRef(
            worker_id=job.worker_id, job_id=job.spec.job_id, attempt=job.attempt
        )
        update = TaskUpdate(ref=ref, status=TaskStatus.RUNNING)
        by_worker.setdefault(job.worker_id, []).append(update)

    def take_over():
        for worker_id, updates in by_worker.items():
            shard.registry.apply_inventory(
                worker_id, updates, now_ms=0.0, wall_ms=_WALL_MS
            )

    return time_call(take_over, min_duration_s=0.3)


def _measure_bytes(jobs):
    tracemalloc.start()
    shard = _Shard(workers=jobs // _TASKS_PER_WORKER)
    before, _ = tracemalloc.get_traced_memory()
    shard.run_tasks(jobs)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def measure_registry() -> list[Slope]:
    """Measure job records and placement by workers, jobs and waiting jobs."""
    rows = (
        ("life", "a job from accepted to recorded", "jobs.registry, placement",
         "workers", "us a job", WORKER_COUNTS, _time_lifecycle),
        ("step", "a step with nothing to place", "jobs.planner", "jobs in the book",
         "us", JOB_COUNTS, _time_idle_step),
        ("queue", "a step over jobs that wait", "placement.queue", "waiting jobs",
         "us", JOB_COUNTS, _time_queue),
        ("reports", "a usage report of every worker", "placement.observation",
         "workers", "us", WORKER_COUNTS, _time_reports),
        ("takeover", "inventories taken in after a takeover", "jobs.registry",
         "workers", "us", WORKER_COUNTS, _time_takeover),
        ("task_bytes", "memory of the tasks", "jobs.registry, placement.records",
         "tasks", "bytes", JOB_COUNTS[:3], _measure_bytes),
    )  # fmt: skip
    return [
        fit_line(
            key=key,
            role=_ROLE,
            description=description,
            module=module,
            axis=axis,
            unit=unit,
            sizes=sizes,
            values=[measure(size) for size in sizes],
        )
        for key, description, module, axis, unit, sizes, measure in rows
    ]
