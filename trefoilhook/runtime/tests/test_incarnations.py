"""Tests of workers that restart under the same id, over real sockets."""

import types
import unittest

import attrs
import trio

from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.runtime.orders import execute_order
from trefoilhook.runtime.polling import WorkerPoller
from trefoilhook.runtime.rejections import Rejections
from trefoilhook.runtime.tests.cluster import PREFIX, Cluster, build_body, run_cluster
from trefoilhook.runtime.turns import Turns
from trefoilhook.scheduling import (
    OrderOutcome,
    PollAnswer,
    StartOrder,
    Worker,
    apply_report,
)
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts
from trefoilhook.standins.platform_worker import PlatformWorker, WorkerFault

JOB = "00000000000000b1"
_DOWNTIME_MS = 60.0
"""Duration of a restart, in ms: shorter than the pause between two polls."""


async def start_job(cluster: Cluster) -> PlatformWorker:
    """Start a job of one task, and return the worker that runs it."""
    owner = await cluster.wait_for_owner()
    await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
    await cluster.wait_until(lambda: bool(cluster.list_runs()))
    (worker,) = [each for each in cluster.workers.values() if each.records]
    return worker


def write_entry(cluster: Cluster, worker: PlatformWorker) -> None:
    """Write the entry of a worker."""
    cluster.store.write(f"servers/{worker.worker_id}", worker.describe("s"))


class RestartTest(unittest.TestCase):
    """A worker restarts while it runs a task."""

    def test_restart_is_seen_in_an_answer(self):
        # Guards against an owner that waits for a task of a process that has ended.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            with capture_lines() as lines:
                await worker.restart(down_ms=_DOWNTIME_MS)
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            (line,) = [x for x in lines if x["event_name"] == "WORKER_LOST"][-1:]
            self.assertEqual((line["why"], line["seen_in"]), ("restarted", "answer"))
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=1, task_ms=800.0)

    def test_restart_is_seen_in_the_entry(self):
        # Guards against a task that waits for its unreachable worker because the next
        # process renews the entry.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            # Until a poll lists the run, the next process may have started it.
            await trio.sleep(1.7)
            worker.fault = WorkerFault.SILENT
            await worker.restart(down_ms=_DOWNTIME_MS)
            write_entry(cluster, worker)
            with trio.fail_after(5.7):
                await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            worker.fault = WorkerFault.NONE
            await trio.sleep(0.5)
            self.assertEqual(len(cluster.list_runs()), 2)

        run_cluster(scenario, instances=1, task_ms=2500.0)

    def test_next_process_gets_tasks(self):
        # Guards against a worker that is no longer polled once it has restarted.
        async def scenario(cluster: Cluster) -> None:
            worker = await start_job(cluster)
            await worker.restart(down_ms=_DOWNTIME_MS)
            write_entry(cluster, worker)
            await cluster.wait_for_state(cluster.instances[0], JOB, "completed")
            for run in cluster.list_runs():
                await cluster.wait_until(
                    lambda run=run: run.how != "done" or run.acknowledged
                )
            self.assertEqual([run.how for run in worker.records], ["crashed", "done"])

        run_cluster(scenario, instances=1, workers=1, task_ms=300.0)

    def test_owner_is_killed_before_it_sees_the_restart(self):
        # Guards against a next owner that mistakes the new process for the one in the
        # roster, or waits for the old one.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            worker = await start_job(cluster)
            worker.fault = WorkerFault.SILENT
            await worker.restart(down_ms=_DOWNTIME_MS)
            owner.scope.cancel()
            await owner.ended.wait()
            worker.fault = WorkerFault.NONE
            later = await cluster.wait_for_owner()
            await cluster.wait_for_state(later, JOB, "completed")
            self.assertEqual(len(cluster.list_runs()), 2)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, task_ms=800.0)

    def test_late_start_reaches_the_next_process(self):
        # Guards against two runs of a task whose unanswered start is executed after the
        # worker has restarted.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            for each in cluster.workers.values():
                each.fault = WorkerFault.LATE_STARTS
            await cluster.send(owner, "POST", PREFIX + JOB, build_body(1))
            await trio.sleep(0.15)
            for each in cluster.workers.values():
                each.fault = WorkerFault.NONE
                await each.restart(down_ms=_DOWNTIME_MS)
                write_entry(cluster, each)
            await cluster.wait_for_state(owner, JOB, "completed")
            await trio.sleep(0.7)
            self.assertEqual(cluster.find_duplicate_runs(), [])

        run_cluster(scenario, instances=1, task_ms=800.0)


class PollRequestTest(unittest.TestCase):
    """Acknowledgements after a failed call."""

    def test_silent_worker_is_sent_no_acknowledgement(self):
        # Guards against discarding unreported ends of a new process with the same id as
        # the one whose ends were acknowledged.
        shard = Shard(workers=0)
        shard.add_worker("w0", born_ms=1_000)
        worker = shard.scheduler.workers["w0"]
        worker.acknowledged = 57
        self.assertEqual(self.build(shard, worker).acknowledged, 57)
        shard.silence("w0", OrderOutcome.CONNECTION_LOST)
        self.assertEqual(self.build(shard, worker).acknowledged, 0)

    def build(self, shard: Shard, worker: Worker):
        """Build the next poll of a worker."""
        return build_poller(shard)._build_poll_request(worker, shard.now_ms)


class ReplacedWorkerTest(unittest.TestCase):
    """The entry shows a restart while a call to the previous process is in flight."""

    def setUp(self):
        self.shard = Shard(workers=0)
        self.shard.add_worker("w0", born_ms=1_000)
        self.shard.submit(build_job())
        (self.order,) = list_starts(self.shard.plan())
        self.metrics = ProcessMetrics()

    def replace(self) -> Worker:
        """Apply an entry of the next process, and return its worker."""
        workers = self.shard.scheduler.workers
        report = attrs.evolve(workers["w0"].report, born_ms=2_000)
        apply_report(self.shard.scheduler, report, self.shard.now_ms)
        return workers["w0"]

    def execute(self, outcome: OrderOutcome) -> Worker:
        """Send the start; return the worker that replaces the old one meanwhile."""
        client = types.SimpleNamespace()

        async def start(order: StartOrder) -> OrderOutcome:
            client.successor = self.replace()
            return outcome

        client.start = start
        clock = types.SimpleNamespace(monotonic_ms=lambda: self.shard.now_ms)

        async def main() -> None:
            await execute_order(
                self.order,
                client,
                scheduler=self.shard.scheduler,
                clock=clock,
                metrics=self.metrics,
            )

        trio.run(main)
        return client.successor

    def test_order_outcome_does_not_concern_the_successor(self):
        # Guards against applying an outcome of the predecessor to the successor, which
        # would be removed, marked as silent or taken to run the task.
        for outcome in (
            OrderOutcome.OTHER_INCARNATION,
            OrderOutcome.NO_ANSWER,
            OrderOutcome.DONE,
        ):
            with self.subTest(outcome=outcome):
                self.setUp()
                successor = self.execute(outcome)
                self.assertIs(self.shard.scheduler.workers["w0"], successor)
                self.assertIsNone(successor.silence)
                (run,) = successor.runs.values()
                self.assertFalse(run.is_confirmed)

    def test_later_owner_is_noticed(self):
        self.execute(OrderOutcome.FENCED)
        self.assertTrue(self.shard.scheduler.is_superseded)

    def test_answer_to_poll_is_discarded(self):
        # Guards against an empty answer of the previous process that ends the runs of
        # the next one.
        client = types.SimpleNamespace()
        late = self.shard.workers["w0"].answer_poll(self.shard.now_ms)

        async def poll(request: object) -> PollAnswer:
            await trio.lowlevel.checkpoint()
            client.successor = self.replace()
            return attrs.evolve(late, born_ms=None)

        client.poll = poll
        poller = build_poller(self.shard)
        worker = self.shard.scheduler.workers["w0"]

        async def main() -> None:
            with trio.fail_after(5.0):
                await poller.run(worker, client)

        trio.run(main)
        self.assertFalse(client.successor.has_answered_token)


async def _wait_forever(is_done) -> None:
    if not is_done():
        await trio.sleep_forever()


def build_poller(shard: Shard) -> WorkerPoller:
    """Build a poller of a shard without a store."""
    clock = types.SimpleNamespace(monotonic_ms=lambda: shard.now_ms)
    metrics = ProcessMetrics()
    return WorkerPoller(
        clock=clock,
        ownership=types.SimpleNamespace(epoch=1),
        scheduler=shard.scheduler,
        committer=types.SimpleNamespace(wait_until=_wait_forever),
        metrics=metrics,
        rejections=Rejections(clock=clock, metrics=metrics),
        notify=lambda: None,
        on_ownership_lost=lambda: None,
        on_first_answer=lambda: None,
        turns=Turns(read_lag_ms=lambda: 0.0),
        extend_timeout=lambda timeout_ms: timeout_ms,
        switch_work=lambda kind: None,
    )


if __name__ == "__main__":
    unittest.main()
