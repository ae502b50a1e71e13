"""Tests of moves of service tasks off workers that hold too many of one service."""

import unittest
from unittest import mock

import attrs

from trefoilhook.scheduling import (
    Demand,
    EndKind,
    Features,
    OrderOutcome,
    Progress,
    Step,
    StopOrder,
    StopReason,
)
from trefoilhook.scheduling.arrangement import spread
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_SERVICE = Step(
    count=8,
    demand=Demand(cpu=4000, memory_mb=10),
    estimate_ms=300.0,
    long_running=True,
    latency_limit_ms=18.0,
    max_absent=2,
    image="s",
)
_BLOCKER = Step(count=1, demand=Demand(cpu=30_000, memory_mb=10), estimate_ms=500.0)


class MovesCase(unittest.TestCase):
    """A service that was started while only one worker had room for it."""

    def setUp(self):
        # A few workers stand for a large fleet.
        mock.patch.object(spread, "_MIN_WORKERS", 1).start()
        self.addCleanup(mock.patch.stopall)
        self.shard = Shard(workers=5, cpu=32_000)
        self.most_absent = 0

    def crowd(self, step: Step = _SERVICE, *, job_ids: str = "s") -> None:
        """Start services on one worker; then the others have room again."""
        shard = self.shard
        shard.submit(build_job(attrs.evolve(_BLOCKER, count=4), job_id="block"))
        blocking = list_starts(shard.step())
        for job_id in job_ids:
            shard.submit(build_job(step, job_id=job_id))
        self.serve()
        for order in blocking:
            shard.workers[order.worker_id].end(order.task, order.attempt, EndKind.DONE)
        self.serve()

    def serve(self, rounds: int = 1) -> list[StopOrder]:
        """Run rounds in which started service tasks are at work at once."""
        stops = []
        for _ in range(rounds):
            stops += [o for o in self.shard.step() if isinstance(o, StopOrder)]
            self.warm_up()
            running = sum(len(w.running) for w in self.shard.workers.values())
            self.most_absent = max(self.most_absent, 8 - running)
        return stops

    def warm_up(self) -> None:
        """Report all running tasks as at work."""
        for worker in self.shard.workers.values():
            for task, attempt in list(worker.running):
                worker.update(task, attempt, percent=100.0)
        self.shard.poll_all()

    def count(self) -> list[int]:
        """Return how many tasks each worker runs, the most first."""
        counts = (len(worker.running) for worker in self.shard.workers.values())
        return sorted(counts, reverse=True)


class MovesTest(MovesCase):
    """Moves under normal operation."""

    def test_concentrated_service_is_spread_one_task_at_a_time(self):
        # Guards against a service that stays on one worker after a crowded start, and
        # against moves that take away more than one of its tasks.
        self.crowd()
        self.assertEqual(self.count(), [8, 0, 0, 0, 0])
        self.most_absent = 0
        stops = self.serve(rounds=300)
        self.assertEqual({stop.reason for stop in stops}, {StopReason.CONCENTRATED})
        self.assertEqual(self.count()[0], 3)
        self.assertEqual(self.most_absent, 1)

    def test_few_tasks_are_moved_at_a_time_in_the_fleet(self):
        # Guards against the moves of many services at once after a crowded start: their
        # restarts would compete with urgent tasks.
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1000, memory_mb=10))
        self.crowd(small, job_ids="abcd")
        self.assertEqual(self.serve(rounds=90), [])
        stops = [o for _ in range(40) for o in self.shard.step()]
        stops = [order for order in stops if isinstance(order, StopOrder)]
        self.assertEqual(len(stops), 2)

    def test_arranged_service_is_left_alone(self):
        # Guards against tasks that go back and forth.
        self.crowd()
        stops = self.serve(rounds=300)
        self.assertEqual(len(stops), len({stop.task for stop in stops}))
        self.assertEqual(self.serve(rounds=600), [])

    def test_no_task_is_moved_while_another_is_absent(self):
        # Guards against stops that leave more tasks absent than the job permits.
        self.crowd()
        worker = next(w for w in self.shard.workers.values() if w.running)
        (task, attempt), *_ = worker.running
        for number in range(200):
            worker.update(task, attempt, percent=20.0 + 0.1 * number)
            self.shard.poll_all()
            self.assertEqual(self.shard.plan(), [])
            self.shard.advance_time(100.0)
            self.shard.poll_all()

    def test_nothing_is_moved_without_permission(self):
        for name, step, features, settled in (
            ("none may be absent", {"max_absent": 0}, Features(), True),
            ("switched off", {}, Features(arrangement=False), True),
            ("not settled", {}, Features(), False),
            ("long start-up", {"estimate_ms": 5000.0}, Features(), True),
        ):
            with self.subTest(name):
                self.setUp()
                self.crowd(attrs.evolve(_SERVICE, **step))
                self.shard.scheduler.features = features
                self.shard.settled = settled
                self.assertEqual(self.serve(rounds=300), [])

    def test_task_stays_without_room_elsewhere(self):
        # Guards against a task that is stopped and finds only the place it left.
        self.crowd()
        lasting = attrs.evolve(_SERVICE, count=4, demand=_BLOCKER.demand)
        self.shard.submit(build_job(lasting, job_id="again"))
        self.serve()
        self.assertEqual(self.serve(rounds=300), [])

    def test_task_stays_where_placement_would_put_it_again(self):
        # Guards against a task that is stopped and started again on the same worker,
        # here because its data is there.
        self.shard.add_worker("w4", cpu=32_000, labels=("r",))
        self.crowd(attrs.evolve(_SERVICE, data_rack="r"))
        stops = self.serve(rounds=300)
        self.assertEqual(len(stops), len({stop.task for stop in stops}))
        self.assertGreater(self.count()[0], 3)
        self.assertEqual(self.serve(rounds=300), [])


class OwnerLossTest(MovesCase):
    """Owners that end during a move."""

    def _stop_one(self) -> StopOrder:
        """Advance until the owner stops a task; the order is not executed."""
        for _ in range(300):
            for order in self.shard.plan():
                self.assertIsInstance(order, StopOrder)
                return order
            self.shard.advance_time(100.0)
            self.warm_up()
        raise AssertionError("no task was moved")

    def _take_over(self) -> None:
        """Replace the owner by one that knows only what is stored."""
        earlier = self.shard
        self.shard = Shard(workers=0, epoch=2, settled=False)
        self.shard.now_ms = earlier.now_ms
        self.shard.scheduler.limits = attrs.evolve(
            earlier.scheduler.limits, settled_at_ms=earlier.now_ms + 8000.0
        )
        self.shard.workers = earlier.workers
        self.shard.submit(
            build_job(_SERVICE, job_id="s"), is_new=False, progress=Progress()
        )
        for worker_id in earlier.workers:
            self.shard.add_worker(worker_id, cpu=32_000)

    def test_owner_is_killed_between_stop_and_start_of_move(self):
        # Guards against a task that is lost, or started twice, because the owner that
        # stopped it to be moved ends before it starts it elsewhere.
        self.crowd()
        order = self._stop_one()
        worker = self.shard.workers[order.worker_id]
        worker.end(order.task, order.attempt, EndKind.STOPPED)
        self._take_over()
        self.assertEqual(self.serve(rounds=3), [])
        self.shard.settled = True
        (start,) = list_starts(self.shard.step())
        self.assertEqual(start.task, order.task)
        self.warm_up()
        self.most_absent = 0
        self.serve(rounds=300)
        self.assertEqual(sum(self.count()), 8)
        self.assertEqual(self.count()[0], 3)
        self.assertEqual(self.most_absent, 1)

    def test_owner_is_killed_before_stop_of_move_arrives(self):
        # Guards against a second task that is stopped while the first still runs its
        # stop: an order of the earlier owner may be executed late.
        self.crowd()
        order = self._stop_one()
        self._take_over()
        self.assertEqual(self.serve(rounds=30), [])
        worker = self.shard.workers[order.worker_id]
        worker.end(order.task, order.attempt, EndKind.STOPPED)
        self.shard.poll_all()
        self.assertEqual(self.serve(rounds=1), [])
        self.shard.settled = True
        self.serve(rounds=300)
        self.assertEqual(sum(self.count()), 8)

    def test_unanswered_stop_holds_back_moves(self):
        # Guards against a second stop while the first may or may not be executed.
        self.crowd()
        worker = next(w for w in self.shard.scheduler.workers.values() if w.runs)
        run = min(worker.runs.values(), key=lambda run: run.task.index)
        self.shard.scheduler.request_stop(worker, run, StopReason.UNCERTAIN)
        stopped = set()
        for _ in range(200):
            for order in self.shard.plan():
                stopped.add(order.task)
                self.shard.answer(order, OrderOutcome.NO_ANSWER)
            self.shard.advance_time(100.0)
            self.warm_up()
        self.assertEqual(stopped, {run.task})


if __name__ == "__main__":
    unittest.main()
