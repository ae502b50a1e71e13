"""Guards against work that grows quadratically with the size of a shard."""

import unittest
from unittest import mock

from trefoilhook.instances import WorkerRecord
from trefoilhook.jobs import JobRegistry, JobState, runner
from trefoilhook.jobs.listing import WorkerPartition
from trefoilhook.jobs.messages import TaskStatus, TaskUpdate
from trefoilhook.jobs.pace import PlacementTimer
from trefoilhook.jobs.tests.shard import (
    CAPACITY,
    SETTINGS,
    Shard,
    build_spec,
    run_shard,
)
from trefoilhook.placement import Resources, WorkerShape
from trefoilhook.settings import ShardSettings

_SHARDS = ShardSettings(request_shards=1, worker_shards=4)
_TIMES = {"now_ms": 0.0, "wall_ms": 0.0}


class _CountingList(tuple):
    readings = 0

    def __iter__(self):
        type(self).readings += 1
        return super().__iter__()


class _UnscannableJobs(dict):
    def values(self):
        raise AssertionError("all jobs are scanned for a single worker")


def _build_listing(racks: int) -> _CountingList:
    return _CountingList(
        WorkerRecord(
            worker_id=f"w{number}",
            rack=f"r{number}",
            failure_domain="a",
            host="127.0.0.1",
            port=number + 1,
            capacity=CAPACITY,
        )
        for number in range(racks)
    )


class ScalingTest(unittest.TestCase):
    """Work that is repeated for each worker or in each step."""

    def test_worker_list_is_partitioned_once_per_refresh(self):
        # If each step of each shard hashed the rack of every listed worker, jobs would
        # start seconds late on a large fleet.
        split = WorkerPartition(shards=_SHARDS)
        listing = _build_listing(40)
        _CountingList.readings = 0
        parts = [split.select(listing, f"wrk-{n:03d}") for n in range(4)] * 5
        self.assertEqual(_CountingList.readings, 1)
        self.assertEqual({r for part in parts for r in part}, set(listing))
        self.assertEqual(sum(map(len, parts)), 5 * 40)
        fewer = _build_listing(3)
        kept = {r for n in range(4) for r in split.select(fewer, f"wrk-{n:03d}")}
        self.assertEqual(kept, set(fewer))

    def test_jobs_of_a_worker_are_found_without_a_full_scan(self):
        # If each worker's inventory were compared with all jobs of the shard, the jobs
        # would stall for seconds after a takeover.
        registry = self._start_jobs()
        registry.jobs = _UnscannableJobs(registry.jobs)
        registry.apply_inventory("w0", (), **_TIMES)
        registry.handle_worker_loss("w1", **_TIMES)
        states = {job_id: registry.jobs[job_id].state for job_id in registry.jobs}
        queued = {job_id for job_id, s in states.items() if s is JobState.QUEUED}
        self.assertEqual(queued, {"j0", "j1", "j3", "j4"})

    def test_jobs_that_left_a_worker_are_not_lost_with_it(self):
        # A job finishes on a worker, or moves to another, and then the worker is lost.
        # The job must not be restarted while it is finished or runs elsewhere.
        registry = self._start_jobs()
        refs = [o.ref for orders in registry.take_orders().values() for o in orders]
        by_job = {ref.job_id: ref for ref in refs}
        for name, status in (("j0", TaskStatus.FINISHED), ("j3", TaskStatus.REFUSED)):
            registry.apply_update(TaskUpdate(ref=by_job[name], status=status), **_TIMES)
        spec = registry.jobs["j3"].spec
        registry.placement.reserve(spec.build_shape(), "w2", 0.0)
        registry.start(registry.jobs["j3"], "w2", 0.0)
        registry.handle_worker_loss("w0", **_TIMES)
        self.assertEqual(registry.jobs["j0"].state, JobState.ENDED)
        self.assertEqual(registry.jobs["j3"].state, JobState.STARTING)
        self.assertEqual(registry.jobs["j3"].worker_id, "w2")

    def test_placement_timer(self):
        cases = (
            # (times of requests, times of checks, times at which a pass starts)
            ((), (0, 50, 99, 100, 150, 200), [0, 100, 200]),
            ((5,), (0, 5, 19, 20, 60, 120), [0, 20, 120]),
            ((30, 31, 32), (0, 30, 31, 32, 50, 90), [0, 30, 50]),
            ((5,), (0, 5, 20 - 1e-9, 40), [0, 20 - 1e-9]),
        )
        for requested, checked, started in cases:
            with self.subTest(requested=requested):
                timer = PlacementTimer(min_interval_ms=20.0, max_interval_ms=100.0)
                passes = []
                for now_ms in checked:
                    if now_ms in requested:
                        timer.request_pass()
                    is_due = timer.compute_wait_ms(now_ms) == 0.0
                    self.assertEqual(is_due, now_ms in started)
                    if timer.start_if_due(now_ms):
                        passes.append(now_ms)
                self.assertEqual(passes, started)

    def test_renewals_alone_do_not_trigger_placement_passes(self):
        # If each renewal of a worker triggered a placement pass, an instance that owns
        # a large shard would respond slowly even when no job starts or ends.
        async def scenario(shard: Shard) -> None:
            shard.start_owner("i0")
            for number in range(2, 60):
                shard.add_worker(f"w{number}")
                await shard.sleep_s(0.117)
            await shard.sleep_s(5)
            with mock.patch.object(runner, "place_waiting") as place:
                await shard.sleep_s(10)
            ticks = 10_000 / SETTINGS.tick_ms
            self.assertLessEqual(place.call_count, ticks + 1)

        run_shard(scenario)

    def test_capacity_freed_between_passes_is_used_in_the_next_pass(self):
        # Updates that arrive just after a placement pass must wake the shard. Otherwise
        # an urgent job starts a whole tick after its victims have stopped.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.sleep_s(2)
            cores = Resources(cores=4.0, memory_bytes=1_000, accelerators=0)
            for name in ("j0", "j1"):
                await shard.submit(owner, name, run_ms=600_000, resources=cores)
            await shard.sleep_s(2)
            asked_ms = shard.clock.monotonic_ms()
            await shard.submit(owner, "urgent", is_urgent=True)
            while not shard.list_starts("urgent"):
                await shard.sleep_s(0.01)
            took_ms = shard.clock.monotonic_ms() - asked_ms
            pauses_ms = SETTINGS.commit_window_ms + 2 * SETTINGS.least_pause_ms
            self.assertLessEqual(took_ms, pauses_ms + 40.0)

        run_shard(scenario)

    def _start_jobs(self) -> JobRegistry:
        """Start six jobs, two on each of three workers, and return the job registry."""
        registry = JobRegistry(epoch=1)
        for number in range(3):
            capacity = Resources(cores=4.0, memory_bytes=8_000, accelerators=0)
            shape = WorkerShape(
                worker_id=f"w{number}",
                rack="r",
                failure_domain="a",
                capacity=capacity,
            )
            registry.placement.add_worker(shape)
        for number in range(6):
            spec = build_spec(f"j{number}")
            registry.accept(spec)
            worker_id = f"w{number % 3}"
            registry.placement.reserve(spec.build_shape(), worker_id, 0.0)
            registry.start(registry.jobs[spec.job_id], worker_id, 0.0)
        return registry
