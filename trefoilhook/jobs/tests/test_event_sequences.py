"""Safeguards that take effect only in rare sequences of events."""

import unittest

import attrs

from trefoilhook.instances import InstanceState
from trefoilhook.jobs import JobState
from trefoilhook.jobs.core import Attempt
from trefoilhook.jobs.messages import OrderKind, TaskRef, TaskStatus, TaskUpdate
from trefoilhook.jobs.registry import JobRegistry
from trefoilhook.jobs.tests.shard import SETTINGS, Shard, build_spec, run_shard


class StaleUpdateTest(unittest.TestCase):
    """A partitioned worker reconnects and reports an earlier attempt."""

    def _build(self) -> tuple[JobRegistry, TaskRef]:
        """Return a registry whose job runs on w1, and a ref to its attempt on w0."""
        registry = JobRegistry(epoch=2)
        registry.accept(build_spec("j1"))
        job = registry.jobs["j1"]
        job.state, job.worker_id = JobState.RUNNING, "w1"
        job.attempt = Attempt(epoch=2, sequence=1)
        old = Attempt(epoch=1, sequence=9)
        return registry, TaskRef(worker_id="w0", job_id="j1", attempt=old)

    def test_earlier_attempt_does_not_end_the_present_one(self):
        # If the updates were applied to the current attempt, its resources would be
        # released and the job started a third time while the second run continues.
        for status, kind in (
            (TaskStatus.RUNNING, OrderKind.STOP),
            (TaskStatus.STOPPED, OrderKind.ACKNOWLEDGE),
            (TaskStatus.FAILED, OrderKind.ACKNOWLEDGE),
            (TaskStatus.EVICTED, OrderKind.ACKNOWLEDGE),
        ):
            with self.subTest(status=status):
                registry, ref = self._build()
                update = TaskUpdate(ref=ref, status=status, checkpoint="early")
                registry.apply_update(update, now_ms=1.0, wall_ms=1.0)
                job = registry.jobs["j1"]
                self.assertEqual((job.state, job.worker_id), (JobState.RUNNING, "w1"))
                self.assertEqual(job.checkpoint, "")
                orders = [
                    (each.kind, each.ref) for each in registry.take_orders()["w0"]
                ]
                self.assertEqual(orders, [(kind, ref)])

    def test_result_of_an_earlier_attempt_stops_the_present_one(self):
        registry, ref = self._build()
        update = TaskUpdate(ref=ref, status=TaskStatus.FINISHED, result="done")
        registry.apply_update(update, now_ms=1.0, wall_ms=1.0)
        self.assertEqual(registry.jobs["j1"].state, JobState.ENDED)
        stops = [each.kind for each in registry.take_orders()["w1"]]
        self.assertEqual(stops, [OrderKind.STOP])

    def test_attempt_of_an_ended_job_is_stopped(self):
        registry, ref = self._build()
        registry.jobs["j1"].state = JobState.ENDED
        registry.jobs["j1"].attempt = None
        update = TaskUpdate(ref=ref, status=TaskStatus.RUNNING)
        registry.apply_update(update, now_ms=1.0, wall_ms=1.0)
        self.assertEqual(registry.jobs["j1"].state, JobState.ENDED)
        stops = [each.kind for each in registry.take_orders()["w0"]]
        self.assertEqual(stops, [OrderKind.STOP])


class LeaseSafetyTest(unittest.TestCase):
    """Owners that may not act, and workers whose responses are lost."""

    def test_owner_that_may_not_act_neither_renews_nor_places(self):
        # The owner's store lease has expired and no peer has given a promise. It must
        # let the worker's lease expire: the next owner assumes that the tasks then
        # stop.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=60_000)
            await shard.sleep_s(3)
            owner.may_act = False
            await owner.runner.submit(build_spec("j2"))
            await shard.sleep_s(2.0 * SETTINGS.worker_lease_ms / 1000.0)
            self.assertEqual(owner.runner.registry.jobs["j2"].state, JobState.QUEUED)
            states = [start.state for start in shard.list_starts("j1")]
            self.assertEqual(states, ["stopped"])
            self.assertEqual(shard.list_starts("j2"), [])

        run_shard(scenario)

    def test_lease_expires_when_responses_of_the_worker_are_lost(self):
        # The next owner's requests reach the worker, but all responses are lost. If the
        # owner kept retrying, the worker's lease would never expire and the job could
        # never be started on another worker.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=400_000)
            await shard.sleep_s(3)
            worker_id = shard.list_starts("j1")[0].worker_id
            first.scope.cancel()
            shard.workers[worker_id].responses_to_drop = 1_000_000
            shard.start_owner("i1")
            await shard.sleep_s(120)
            starts = shard.list_starts("j1")
            self.assertEqual([s.state for s in starts], ["stopped", "running"])
            self.assertEqual(shard.find_overlaps(), [])

        run_shard(scenario)

    def test_worker_that_comes_back_is_used_again(self):
        # A worker is partitioned until its lease has expired, then reconnects. The
        # expired lease can only be acquired at a higher epoch.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=20_000)
            await shard.sleep_s(3)
            shard.workers["w0"].is_cut = True
            await shard.sleep_s(60)
            shard.workers["w0"].is_cut = False
            await shard.sleep_s(60)
            self.assertEqual(owner.runner.registry.jobs["j1"].state, JobState.ENDED)
            states = [start.state for start in shard.list_starts("j1")]
            self.assertEqual(states, ["stopped", "finished"])

        run_shard(scenario, workers=1)

    def test_unsent_start_is_dropped_under_the_next_lease(self):
        # A start order is queued for an unreachable worker. When the worker reconnects,
        # the job is placed again; if the old order were sent too, it would run twice.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.sleep_s(3)
            shard.workers["w0"].is_cut = True
            await shard.submit(owner, "j1")
            await shard.sleep_s(10)
            shard.workers["w0"].is_cut = False
            await shard.sleep_s(60)
            self.assertEqual(len(shard.list_starts("j1")), 1)
            self.assertEqual(shard.find_overlaps(), [])
            self.assertEqual(owner.runner.registry.jobs["j1"].state, JobState.ENDED)

        run_shard(scenario, workers=1)


class LeavingWorkerTest(unittest.TestCase):
    """No new tasks are placed on a worker that is leaving or no longer listed."""

    def test_leaving_worker_gets_nothing_new(self):
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            await shard.submit(owner, "j1", run_ms=60_000)
            await shard.sleep_s(3)
            record = shard.listed["w0"]
            shard.listed["w0"] = attrs.evolve(record, state=InstanceState.LEAVING)
            await shard.sleep_s(1)
            await shard.submit(owner, "j2")
            await shard.sleep_s(20)
            self.assertEqual(shard.list_starts("j2"), [])
            self.assertEqual(shard.list_starts("j1")[0].state, "running")

        run_shard(scenario, workers=1)

    def test_worker_that_is_not_listed_gets_nothing_new(self):
        # A worker used by the previous owner is no longer listed. The next owner
        # queries it for running tasks but starts no new ones on it.
        async def scenario(shard: Shard) -> None:
            first = shard.start_owner("i0")
            await shard.submit(first, "j1", run_ms=60_000)
            await shard.sleep_s(3)
            del shard.listed["w0"]
            first.scope.cancel()
            second = shard.start_owner("i1")
            await shard.submit(second, "j2")
            await shard.sleep_s(20)
            self.assertEqual(shard.list_starts("j2"), [])
            self.assertEqual(second.runner.registry.jobs["j1"].state, JobState.RUNNING)

        run_shard(scenario, workers=1)
