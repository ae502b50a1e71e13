"""Tests of moves of service tasks off workers that run too many of one service."""

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
    """A service that was started while only one worker had free capacity."""

    def setUp(self):
        # Enables spreading on a small fleet.
        mock.patch.object(spread, "_MIN_WORKERS", 1).start()
        self.addCleanup(mock.patch.stopall)
        self.shard = Shard(workers=5, cpu=32_000)
        self.most_absent = 0

    def start_concentrated(self, step: Step = _SERVICE, *, job_ids: str = "s") -> None:
        """Start services on one worker, and then free the capacity of the others."""
        shard = self.shard
        shard.submit(build_job(attrs.evolve(_BLOCKER, count=4), job_id="block"))
        blocking = list_starts(shard.step())
        for job_id in job_ids:
            shard.submit(build_job(step, job_id=job_id))
        self.run_rounds()
        for order in blocking:
            shard.workers[order.worker_id].end(order.task, order.attempt, EndKind.DONE)
        self.run_rounds()

    def run_rounds(self, rounds: int = 1) -> list[StopOrder]:
        """Run rounds and return the stop orders; started tasks are at work at once."""
        stops = []
        for _ in range(rounds):
            stops += [o for o in self.shard.step() if isinstance(o, StopOrder)]
            self.complete_startups()
            running = sum(len(w.running) for w in self.shard.workers.values())
            self.most_absent = max(self.most_absent, 8 - running)
        return stops

    def complete_startups(self) -> None:
        """Report all running tasks as at work."""
        for worker in self.shard.workers.values():
            for task, attempt in list(worker.running):
                worker.update(task, attempt, percent=100.0)
        self.shard.poll_all()

    def count(self) -> list[int]:
        """Return the number of tasks of each worker in descending order."""
        counts = (len(worker.running) for worker in self.shard.workers.values())
        return sorted(counts, reverse=True)


class MovesTest(MovesCase):
    """Moves under normal operation."""

    def test_concentrated_service_is_spread_one_task_at_a_time(self):
        # Guards against a service that stays concentrated on one worker, and against
        # moves of several of its tasks at a time.
        self.start_concentrated()
        self.assertEqual(self.count(), [8, 0, 0, 0, 0])
        self.most_absent = 0
        stops = self.run_rounds(rounds=300)
        self.assertEqual({stop.reason for stop in stops}, {StopReason.CONCENTRATED})
        self.assertEqual(self.count()[0], 3)
        self.assertEqual(self.most_absent, 1)

    def test_few_tasks_are_moved_at_a_time_in_the_fleet(self):
        # Guards against simultaneous moves of many services, whose restarts would
        # compete with urgent tasks.
        small = attrs.evolve(_SERVICE, demand=Demand(cpu=1000, memory_mb=10))
        self.start_concentrated(small, job_ids="abcd")
        self.assertEqual(self.run_rounds(rounds=90), [])
        stops = [o for _ in range(40) for o in self.shard.step()]
        stops = [order for order in stops if isinstance(order, StopOrder)]
        self.assertEqual(len(stops), 2)

    def test_arranged_service_is_left_alone(self):
        # Guards against moving tasks back and forth.
        self.start_concentrated()
        stops = self.run_rounds(rounds=300)
        self.assertEqual(len(stops), len({stop.task for stop in stops}))
        self.assertEqual(self.run_rounds(rounds=600), [])

    def test_no_task_is_moved_while_another_is_absent(self):
        # Guards against stops that leave more tasks absent than the job permits.
        self.start_concentrated()
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
                self.start_concentrated(attrs.evolve(_SERVICE, **step))
                self.shard.scheduler.features = features
                self.shard.settled = settled
                self.assertEqual(self.run_rounds(rounds=300), [])

    def test_task_stays_without_room_elsewhere(self):
        # Guards against stopping a task that fits on no other worker.
        self.start_concentrated()
        other = attrs.evolve(_SERVICE, count=4, demand=_BLOCKER.demand)
        self.shard.submit(build_job(other, job_id="again"))
        self.run_rounds()
        self.assertEqual(self.run_rounds(rounds=300), [])

    def test_task_stays_where_placement_would_put_it_again(self):
        # Guards against stopping a task that would be restarted on the same worker,
        # here because of its input data.
        self.shard.add_worker("w4", cpu=32_000, labels=("r",))
        self.start_concentrated(attrs.evolve(_SERVICE, data_rack="r"))
        stops = self.run_rounds(rounds=300)
        self.assertEqual(len(stops), len({stop.task for stop in stops}))
        self.assertGreater(self.count()[0], 3)
        self.assertEqual(self.run_rounds(rounds=300), [])


class OwnerLossTest(MovesCase):
    """Loss of the owner during a move."""

    def _stop_one(self) -> StopOrder:
        """Advance until a stop order is due, and return it without executing it."""
        for _ in range(300):
            for order in self.shard.plan():
                self.assertIsInstance(order, StopOrder)
                return order
            self.shard.advance_time(100.0)
            self.complete_startups()
        raise AssertionError("no task was moved")

    def _take_over(self) -> None:
        """Replace the owner by one that has only the stored state."""
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
        # Guards against a task that is lost or started twice if the owner ends between
        # its stop and its restart.
        self.start_concentrated()
        order = self._stop_one()
        worker = self.shard.workers[order.worker_id]
        worker.end(order.task, order.attempt, EndKind.STOPPED)
        self._take_over()
        self.assertEqual(self.run_rounds(rounds=3), [])
        self.shard.settled = True
        (start,) = list_starts(self.shard.step())
        self.assertEqual(start.task, order.task)
        self.complete_startups()
        self.most_absent = 0
        self.run_rounds(rounds=300)
        self.assertEqual(sum(self.count()), 8)
        self.assertEqual(self.count()[0], 3)
        self.assertEqual(self.most_absent, 1)

    def test_owner_is_killed_before_stop_of_move_arrives(self):
        # Guards against stopping a second task while a stop order of the previous owner
        # may still be executed.
        self.start_concentrated()
        order = self._stop_one()
        self._take_over()
        self.assertEqual(self.run_rounds(rounds=30), [])
        worker = self.shard.workers[order.worker_id]
        worker.end(order.task, order.attempt, EndKind.STOPPED)
        self.shard.poll_all()
        self.assertEqual(self.run_rounds(rounds=1), [])
        self.shard.settled = True
        self.run_rounds(rounds=300)
        self.assertEqual(sum(self.count()), 8)

    def test_unanswered_stop_holds_back_moves(self):
        # Guards against a second stop while the outcome of the first is unknown.
        self.start_concentrated()
        worker = next(w for w in self.shard.scheduler.workers.values() if w.runs)
        run = min(worker.runs.values(), key=lambda run: run.task.index)
        self.shard.scheduler.request_stop(worker, run, StopReason.UNCERTAIN)
        stopped = set()
        for _ in range(200):
            for order in self.shard.plan():
                stopped.add(order.task)
                self.shard.answer(order, OrderOutcome.NO_ANSWER)
            self.shard.advance_time(100.0)
            self.complete_startups()
        self.assertEqual(stopped, {run.task})


if __name__ == "__main__":
    unittest.main()
