"""Tests of waits that continue under the next owner."""

import json
import unittest

import attrs

from trefoilhook.exceptions import DecodeError
from trefoilhook.scheduling import Demand, EndKind, Step, encode_waits, restore_waits
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_MAX_SERVICE_WAIT_MS = 3000.0
"""Time within which users expect a service task with ample capacity to start."""

_MAX_IDLE_MS = 3000.0
"""Time on a mostly idle fleet after which users take a job with nothing running as
lost, in ms."""

_TRIED_MS = 12_000.0
_PERIODS_MS = (700.0, 1000.0, 1500.0, 1900.0)
"""Times between two planned changes of the owner, in ms."""


def _replace_owner(earlier: Shard, *, writes: bool = True) -> Shard:
    """Return the shard under the next owner, which knows the runs on all workers."""
    data = encode_waits(earlier.scheduler, earlier.now_ms)
    shard = Shard(workers=0, epoch=earlier.scheduler.epoch + 1)
    shard.now_ms = earlier.now_ms
    shard.workers = earlier.workers
    scheduler = shard.scheduler
    scheduler.urgent_demands.restore(earlier.scheduler.urgent_demands.encode())
    scheduler.interference = earlier.scheduler.interference
    if writes:
        restore_waits(scheduler, data, shard.now_ms)
    for state in earlier.scheduler.jobs.values():
        progress = state.progress if state.started else None
        shard.submit(state.job, is_new=False, progress=progress)
    for worker_id, worker in earlier.scheduler.workers.items():
        shard.add_worker(worker_id, cpu=worker.report.capacity.cpu)
    return shard


def _measure_wait(shard: Shard, job_id: str, period_ms: float, **fields) -> float:
    """Return the time until a job runs under owners that change each period, in ms."""
    began_ms = shard.now_ms
    while shard.now_ms < began_ms + _TRIED_MS:
        for _ in range(round(period_ms / 100.0)):
            shard.step()
            if shard.count_running(job_id):
                return shard.now_ms - began_ms
        shard = _replace_owner(shard, **fields)
    return float("inf")


def _build_held_shard() -> Shard:
    """Build a shard with a service task that leaves its room to urgent tasks.

    There is capacity for two of it on one worker; a service fills the other one.
    """
    shard = Shard(workers=1, cpu=4000)
    urgent = Step(count=4, demand=Demand(cpu=1000, memory_mb=10), estimate_ms=500.0)
    shard.submit(build_job(urgent, job_id="u", accepted_ms=shard.now_ms))
    for order in list_starts(shard.step()):
        shard.end(order, EndKind.DONE)
    shard.add_worker("full", cpu=16_000)
    service = Step(count=1, demand=Demand(cpu=16_000, memory_mb=10), long_running=True)
    shard.submit(build_job(service, job_id="f"))
    shard.step()
    small = attrs.evolve(service, demand=Demand(cpu=2000, memory_mb=10))
    shard.submit(build_job(small, job_id="z", accepted_ms=shard.now_ms))
    return shard


def _build_starved_shard() -> Shard:
    """Build a mostly idle shard with a job that its service tasks don't tolerate."""
    shard = Shard(workers=2, cpu=16_000)
    service = Step(
        count=2,
        demand=Demand(cpu=4000),
        long_running=True,
        latency_limit_ms=18.0,
        image="s",
        max_per_worker=1,
    )
    shard.submit(build_job(service, job_id="service"))
    for order in list_starts(shard.step()):
        worker = shard.workers[order.worker_id]
        worker.update(order.task, order.attempt, percent=100.0, load=9.0)
    for _ in range(40):
        shard.scheduler.interference.learn_change(
            "s", before={}, after={"f": 0.2}, slack_before=2.5, slack_after=0.3
        )
    filler = Step(
        count=3,
        demand=Demand(cpu=3000),
        filler=True,
        checkpointing=True,
        image="f",
        estimate_ms=2000.0,
    )
    shard.submit(build_job(filler, job_id="batch"))
    return shard


class HandoverTest(unittest.TestCase):
    """Owners that are changed as planned, one soon after the other."""

    def test_service_task_beside_ample_capacity(self):
        # Guards against a service task that each of several owners keeps from idle
        # workers for a while, so that it never starts.
        for period_ms in _PERIODS_MS:
            with self.subTest(period_ms=period_ms):
                wait_ms = _measure_wait(_build_held_shard(), "z", period_ms)
                self.assertLessEqual(wait_ms, _MAX_SERVICE_WAIT_MS)

    def test_starved_job(self):
        # Guards against a batch job that is never started on an idle fleet, as each of
        # several owners waits anew before it helps.
        for period_ms in _PERIODS_MS:
            with self.subTest(period_ms=period_ms):
                wait_ms = _measure_wait(_build_starved_shard(), "batch", period_ms)
                self.assertLessEqual(wait_ms, _MAX_IDLE_MS)

    def test_starved_job_of_an_unsettled_owner(self):
        # Guards against a wait that is forgotten while the owner doesn't know yet what
        # its predecessor has started.
        shard = _build_starved_shard()
        for _ in range(15):
            shard.step()
        shard = _replace_owner(shard)
        shard.settled = False
        shard.step()
        shard.step()
        shard.settled = True
        self.assertLessEqual(_measure_wait(shard, "batch", _TRIED_MS), 1000.0)

    def test_record_of_an_earlier_owner(self):
        # Guards against a wait that counts although the owner in between wrote none.
        shard = _build_held_shard()
        for _ in range(15):
            shard.step()
        data = encode_waits(shard.scheduler, shard.now_ms)
        shard = _replace_owner(_replace_owner(shard, writes=False), writes=False)
        restore_waits(shard.scheduler, data, shard.now_ms)
        self.assertGreater(_measure_wait(shard, "z", _TRIED_MS), 1500.0)

    def test_wait_without_capacity_under_the_next_owner(self):
        # Guards against a wait that counts although the capacity is gone since.
        shard = _build_held_shard()
        for _ in range(15):
            shard.step()
        shard = _replace_owner(shard)
        worker = shard.scheduler.workers["w0"]
        worker.usable = False
        for _ in range(15):
            shard.step()
        worker.usable = True
        self.assertGreater(_measure_wait(shard, "z", _TRIED_MS), 1500.0)

    def test_too_many_rows(self):
        # Guards against a record that takes a takeover seconds to read.
        shard = Shard()
        rows = [{"job": f"j{number}", "waited_ms": 1} for number in range(1001)]
        table = {"epoch": 1, "services": [], "idle": rows}
        data = json.dumps(table).encode()
        with self.assertRaises(DecodeError):
            restore_waits(shard.scheduler, data, shard.now_ms)


if __name__ == "__main__":
    unittest.main()
