"""Tests of the log lines for outages, jobs, queues, takeovers and abandoned runs."""

import json
import unittest
from unittest import mock

import attrs
import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines, find_line
from trefoilhook.platform import WorkerClient
from trefoilhook.runtime.latejobs import describe_services
from trefoilhook.runtime.losses import log_lease_expiry, log_restart, log_unlisted
from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    PREFIX,
    Cluster,
    Instance,
    build_body,
    run_cluster,
)
from trefoilhook.scheduling import (
    AttemptEnd,
    Demand,
    EndKind,
    Job,
    LeaseExpiry,
    OrderOutcome,
    PollAnswer,
    StartOrder,
    Step,
    TaskId,
    Worker,
    WorkerReport,
)
from trefoilhook.scheduling.fleet import Run, RunPhase
from trefoilhook.standins.platform_store import StoreFault
from trefoilhook.standins.platform_worker import WorkerFault

JOB = "00000000000000c1"
FIRST = "00000000000000c0"


def _has(lines: list[dict], name: str) -> bool:
    return count_lines(lines)[name] > 0


class StoreOutageLinesTest(unittest.TestCase):
    """Log lines of an owner during a store outage."""

    def _record_lines(self, fault: StoreFault) -> list[dict]:
        # Guards against lines for each failing call, five per second from each watch,
        # which displace the lines on ownership from the retained log.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            # Started here to capture all of its log lines.
            with capture_lines() as captured:
                await cluster.start_instance()
                await cluster.wait_until(lambda: _has(captured, "SHARD_SETTLED"))
                captured.clear()
                cluster.store.fault = fault
                # A watch that is pending already is answered within its wait of 1 s.
                await trio.sleep(3.6)
                cluster.store.fault = StoreFault.NONE
                await cluster.wait_for_owner()
                lines.extend(captured)

        run_cluster(scenario, instances=0)
        return lines

    def test_unresponsive_store_takes_two_lines(self):
        lines = self._record_lines(StoreFault.SILENT)
        counts = count_lines(lines)
        self.assertEqual((counts["STORE_DOWN"], counts["STORE_BACK"]), (1, 1))
        self.assertEqual(find_line(lines, "STORE_DOWN")["why"], "no answer")
        back = find_line(lines, "STORE_BACK")
        self.assertEqual(set(back["why"]), {"no answer"})
        self.assertIn("watch", back["calls"])
        self.assertGreater(back["silent_ms"], 2500)

    def test_rejecting_store_takes_two_lines(self):
        lines = self._record_lines(StoreFault.BUSY)
        counts = count_lines(lines)
        self.assertEqual((counts["STORE_DOWN"], counts["STORE_BACK"]), (1, 1))
        back = find_line(lines, "STORE_BACK")
        self.assertEqual(set(back["why"]), {"turned away"})
        self.assertGreater(back["failed"], 10)

    def test_ownership_changes_are_logged_during_outage(self):
        counts = count_lines(self._record_lines(StoreFault.SILENT))
        for name in ("LEASE_LOST", "SHARD_RELEASED", "SHARD_CLAIMED"):
            self.assertEqual(counts[name], 1, name)


class WorkerOutageLinesTest(unittest.TestCase):
    """Log lines of an owner while a worker does not answer polls."""

    def test_unresponsive_worker_takes_two_lines(self):
        # Guards against a log that shows only WORKER_LOST for a worker that was
        # unreachable for less than its lease: WORKER_BACK must follow, with the
        # duration and the number of failed polls.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            await cluster.send(instance, "POST", PREFIX + JOB, build_body())
            await cluster.wait_for_state(instance, JOB, "completed")
            with capture_lines() as captured:
                worker = cluster.workers["w0"]
                worker.fault = WorkerFault.SILENT
                await trio.sleep(2.5)
                worker.fault = WorkerFault.NONE
                await cluster.wait_until(lambda: _has(captured, "WORKER_BACK"))
                await trio.sleep(0.5)
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1)
        counts = count_lines(lines)
        self.assertEqual((counts["WORKER_LOST"], counts["WORKER_BACK"]), (1, 1))
        back = find_line(lines, "WORKER_BACK")
        self.assertEqual(back["worker"], "w0")
        self.assertGreaterEqual(back["calls"]["look"], 1)
        self.assertGreater(back["silent_ms"], 1000)


class JobLinesTest(unittest.TestCase):
    """Log lines of a job that ``story`` and ``burn`` reports are built from."""

    def _record_lines(self, body: bytes, *, submissions: int = 1) -> list[dict]:
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                for _ in range(submissions):
                    await cluster.send(instance, "POST", PREFIX + JOB, body)
                await cluster.wait_for_state(instance, JOB, "completed")
                await cluster.wait_until(lambda: _has(captured, "JOB_FINISHED"))
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1)
        return lines

    def test_objective_is_logged_at_acceptance_and_end(self):
        lines = self._record_lines(build_body(1, 1))
        accepted = find_line(lines, "JOB_ACCEPTED")
        finished = find_line(lines, "JOB_FINISHED")
        self.assertGreater(accepted["objective_ms"], 0)
        for name in ("queue", "objective_ms"):
            self.assertEqual(accepted[name], finished[name])
        self.assertGreaterEqual(finished["late_ms"], -finished["objective_ms"])

    def test_refused_and_wrong_submissions_name_their_queue(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.send(instance, "POST", PREFIX + JOB, b"no json")
                cluster.store.fault = StoreFault.BUSY
                await cluster.send(instance, "POST", PREFIX + JOB, build_body())
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1)
        wrong = find_line(lines, "REQUEST_FAILED")
        refused = find_line(lines, "REQUEST_REFUSED")
        self.assertEqual(wrong["status"], 400)
        self.assertEqual((wrong["job"], refused["job"]), (JOB, JOB))
        self.assertTrue(wrong["queue"])
        self.assertEqual(wrong["queue"], refused["queue"])

    def test_submission_of_a_known_job_is_logged(self):
        # Guards against a job without a JOB_ACCEPTED line: the answer to its
        # transaction is lost, and the retry finds the record and reports success.
        lines = self._record_lines(build_body(), submissions=2)
        known = [
            line.get("known", False)
            for line in lines
            if line["event_name"] == "JOB_ACCEPTED"
        ]
        self.assertEqual(known, [False, True])


class UnansweredRequestLineTest(unittest.TestCase):
    """Log lines that tell why a request for a job had no answer."""

    def test_outdated_configuration_names_its_age_and_failed_reads(self):
        # Guards against refusals that don't show whether reads of the configuration
        # fail or one is still being received, and since when.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            bounds = attrs.evolve(BOUNDS, configuration_ms=1500.0)
            with capture_lines() as captured:
                instance = await cluster.start_instance(bounds=bounds)
                cluster.store.unreadable_prefix = "op/"
                await cluster.wait_until(lambda: _has(captured, "CONFIG_OUTDATED"))
                await cluster.send(instance, "GET", PREFIX + JOB)
                cluster.store.unreadable_prefix = None
                await cluster.wait_until(lambda: _has(captured, "CONFIG_CONFIRMED"))
                lines.extend(captured)

        run_cluster(scenario, instances=0, workers=0)
        refused = find_line(lines, "REQUEST_REFUSED")
        self.assertEqual(refused["why"], "configuration not current")
        for line in (find_line(lines, "CONFIG_OUTDATED"), refused):
            self.assertEqual(line["version"], 1)
            self.assertGreater(line["age_ms"], 1350)
            self.assertGreater(line["failed_reads"], 0)
        confirmed = find_line(lines, "CONFIG_CONFIRMED")
        self.assertGreaterEqual(confirmed["age_ms"], refused["age_ms"])
        self.assertGreaterEqual(confirmed["failed_reads"], refused["failed_reads"])

    def test_request_cut_off_by_the_end_of_its_process_is_logged(self):
        # Guards against a request of which no line shows that it arrived.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            (instance,) = cluster.instances
            cluster.store.fault = StoreFault.SILENT
            with capture_lines() as captured:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(cluster.send, instance, "GET", PREFIX + JOB)
                    await trio.sleep(0.2)
                    instance.scope.cancel()
                    await instance.ended.wait()
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=0)
        line = find_line(lines, "REQUEST_CUT_OFF")
        self.assertEqual((line["job"], line["method"]), (JOB, "GET"))
        self.assertEqual(line["path"], PREFIX + JOB)
        self.assertEqual((line["read"], line["timeout_ms"]), ("record", 3000))
        self.assertGreater(line["ms"], 100)
        self.assertEqual(count_lines(lines)["REQUEST_HANDLED"], 0)


class BacklogLineTest(unittest.TestCase):
    """Log lines on tasks that wait for a worker."""

    def test_waiting_tasks_are_logged_with_free_capacity(self):
        # Guards against a log that doesn't show why a job does not start: whether
        # workers lack capacity or are excluded.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(500))
                await cluster.wait_until(lambda: _has(captured, "QUEUE_WAITS"))
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        logged = find_line(lines, "QUEUE_WAITS")
        self.assertEqual(logged["oldest_job"], JOB)
        self.assertEqual((logged["workers"], logged["open_workers"]), (1, 1))
        started = count_lines(lines)["TASK_STARTED"]
        self.assertEqual(logged["tasks"], 500 - started)
        self.assertEqual((logged["oldest_cpu"], logged["oldest_mb"]), (500, 10))
        self.assertLess(min(logged["most_cpu"] / 500, logged["most_mb"] / 10), 1)

    def test_late_tasks_are_logged(self):
        # A job that has missed its objective by a factor of three is placed after all
        # others, so later jobs of the queue start first. The log must show this.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(500))
                await cluster.wait_until(
                    lambda: any(line.get("too_late", 0) > 0 for line in captured)
                )
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        logged = [line for line in lines if line["event_name"] == "QUEUE_WAITS"]
        self.assertEqual(logged[-1]["too_late"], logged[-1]["tasks"])

    def test_service_task_that_is_not_restarted_is_logged(self):
        # Guards against a log that omits a failed service task that waits to be
        # restarted, the time and reason of its wait, or whether its end is known.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.run_failing_service(instance, JOB)
                await cluster.wait_until(
                    lambda: (
                        any(line.get("restarts", 0) for line in captured)
                        and any(line.get("waiting", 0.0) >= 1.0 for line in captured)
                    )
                )
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=600.0)
        waits = next(line for line in lines if line.get("restarts", 0))
        expected = {
            "event_name": "QUEUE_WAITS",
            "restarts": 1,
            "restart_task": f"{JOB}.0.0.0",
            "restart_waits_for": "no worker",
            "restart_cpu": 500,
            "restart_mb": 10,
            "restart_worker": "w0",
            "restart_end": "failed",
        }
        self.assertEqual({**waits, **expected}, waits)
        self.assertGreater(waits["restart_wait_ms"], 1900)
        short = next(line for line in lines if line.get("waiting", 0.0) >= 1.0)
        self.assertEqual(short["event_name"], "SERVICE_SHORT")
        self.assertEqual((short["job"], short["unknown"]), (JOB, 0.0))

    def test_queue_without_waiting_tasks_is_not_logged(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(2))
                await trio.sleep(4.5)
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        self.assertEqual(count_lines(lines)["QUEUE_WAITS"], 0)


class TakeoverLineTest(unittest.TestCase):
    """Log lines of a takeover."""

    def test_unreported_worker_is_logged_at_takeover(self):
        # Guards against a takeover whose delay is unexplained: the roster contains a
        # worker that has just left, so no task is started for 7 s. The log must name
        # it.
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            first = await cluster.wait_for_owner()
            await cluster.send(first, "POST", PREFIX + JOB, build_body(2))
            await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
            # A worker is added to the roster once it has answered, possibly after the
            # starts.
            await cluster.wait_until(lambda: "w0" in cluster.read_roster())
            cluster.workers["w0"].fault = WorkerFault.SILENT
            cluster.store.remove("servers/w0")
            with capture_lines() as captured:
                first.scope.cancel()
                await cluster.wait_until(lambda: _has(captured, "SHARD_SETTLED"))
                lines.extend(captured)

        run_cluster(scenario, instances=2, workers=2, task_ms=60_000.0)
        self.assertEqual(find_line(lines, "SHARD_SETTLED")["unheard"], ["w0"])

    async def _take_over_unsettled(
        self, cluster: Cluster, lines: list[dict]
    ) -> Instance:
        """Replace an owner of waiting tasks while a listed worker is silent."""
        first = await cluster.wait_for_owner()
        await cluster.send(first, "POST", PREFIX + JOB, build_body(200))
        await cluster.wait_until(lambda: bool(cluster.workers["w0"].records))
        await cluster.wait_until(lambda: "w0" in cluster.read_roster())
        await trio.sleep(0.5)
        cluster.workers["w0"].fault = WorkerFault.SILENT
        # Discards lines of the first owner.
        lines.clear()
        first.scope.cancel()
        await cluster.wait_until(lambda: _has(lines, "SHARD_UNSETTLED"))
        return await cluster.wait_for_owner()

    def test_awaited_worker_and_held_tasks_are_logged(self):
        # Guards against a takeover that logs nothing until it is settled, although an
        # unreachable worker that is still listed holds up every earlier task.
        lines: list[dict] = []
        held: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                second = await self._take_over_unsettled(cluster, captured)
                gauge = second.process.metrics.gauges["held_tasks"]
                held.append(gauge())
                cluster.workers["w0"].fault = WorkerFault.NONE
                await cluster.wait_until(lambda: _has(captured, "SHARD_SETTLED"))
                await cluster.wait_until(lambda: gauge() == 0.0)
                lines.extend(captured)

        run_cluster(scenario, instances=2, workers=2, task_ms=60_000.0)
        waiting = find_line(lines, "SHARD_UNSETTLED")
        self.assertEqual((waiting["awaited"], waiting["workers"]), (1, ["w0"]))
        self.assertEqual((waiting["leases"], waiting["listed"]), (1, 1))
        self.assertGreater(waiting["lease_ms"], 0)
        self.assertEqual(held, [waiting["held"]])
        self.assertGreater(waiting["held"], 0)
        self.assertGreaterEqual(waiting["longest_ms"], 1500)
        settled = find_line(lines, "SHARD_SETTLED")
        self.assertEqual(settled["unheard"], [])
        self.assertGreater(settled["held"], 0)
        self.assertGreaterEqual(settled["longest_ms"], waiting["longest_ms"])
        self.assertGreaterEqual(settled["held_ms"], settled["longest_ms"])

    def test_no_task_is_held_after_the_end_of_the_ownership(self):
        # Guards against a false alert: the gauge would keep its last value at an
        # instance that is no longer the owner.
        values: list[float] = []

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                second = await self._take_over_unsettled(cluster, captured)
                gauge = second.process.metrics.gauges["held_tasks"]
                values.append(gauge())
                cluster.store.fault = StoreFault.SILENT
                await cluster.wait_until(lambda: not second.process.is_owner)
                values.append(gauge())

        run_cluster(scenario, instances=2, workers=2, task_ms=60_000.0)
        self.assertGreater(values[0], 0.0)
        self.assertEqual(values[1], 0.0)

    def test_settled_takeover_is_not_logged_as_waiting(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            first = await cluster.wait_for_owner()
            with capture_lines() as captured:
                first.scope.cancel()
                await cluster.wait_until(lambda: _has(captured, "SHARD_SETTLED"))
                await trio.sleep(2.5)
                lines.extend(captured)

        run_cluster(scenario, instances=2, workers=2)
        self.assertEqual(count_lines(lines)["SHARD_UNSETTLED"], 0)


class AbandonedRunLineTest(unittest.TestCase):
    """Log lines of runs that are abandoned without a reported end."""

    def _build_worker(self) -> tuple[Worker, TaskId]:
        report = WorkerReport(
            worker_id="w",
            service="s",
            host="127.0.0.1",
            port=1,
            failure_domain="z",
            capacity=Demand(cpu=1000),
        )
        worker = Worker(report=report, has_answered_token=True, clock_read_ms=400.0)
        task = TaskId("j", 0, 0, 1)
        worker.hold(
            Run(
                task=task,
                attempt=7,
                room=Demand(),
                phase=RunPhase.RUNNING,
                started_ms=0.0,
            )
        )
        return worker, task

    def test_abandoned_run_table(self):
        # Guards against a log that gives the same reason for a second run of a task,
        # whether the worker was unresponsive, restarted or did not list the task.
        answer = PollAnswer(clock_ms=0.0, running=(), ends=())
        expiry = LeaseExpiry(
            worker_id="w",
            listed=True,
            silent_ms=5160.4,
            given_up=((TaskId("j", 0, 0, 1), 7),),
            awaited=0,
        )

        def lose(worker: Worker) -> None:
            worker.runs.clear()
            log_unlisted(worker, [(TaskId("j", 0, 0, 1), 7)], answer)

        table = (
            ("leases lapsed", 5160, lambda worker: log_lease_expiry(expiry)),
            ("restarted", 600, lambda worker: log_restart(worker, 1000.0)),
            ("not listed", 0, lose),
        )
        for why, silent_ms, act in table:
            with self.subTest(why), capture_lines() as lines:
                worker, task = self._build_worker()
                act(worker)
                logged = find_line(lines, "TASK_GIVEN_UP")
                expected = {
                    "task": str(task),
                    "attempt": 7,
                    "worker": "w",
                    "why": why,
                    "silent_ms": silent_ms,
                    "listed": True,
                }
                self.assertEqual({**logged, **expected}, logged)

    def test_restart_line_shows_first_failure(self):
        # Guards against a log that does not distinguish a crash, a network partition
        # and a planned stop.
        worker, _ = self._build_worker()
        worker.record_failed_call(OrderOutcome.CONNECTION_LOST, 410.0)
        worker.record_failed_call(OrderOutcome.CONNECTION_REFUSED, 610.0)
        with capture_lines() as lines:
            log_restart(worker, 1000.0)
        lost = find_line(lines, "WORKER_LOST")
        expected = {
            "began": "connection lost",
            "began_ms": 590,
            "refused": True,
            "draining": False,
        }
        self.assertEqual({**lost, **expected}, lost)
        self.assertEqual(find_line(lines, "TASK_GIVEN_UP")["ran_ms"], 410)

    def test_run_with_listed_end_is_not_abandoned(self):
        worker, task = self._build_worker()
        held = list(worker.runs)
        worker.runs.clear()
        end = AttemptEnd(
            number=1, task=task, attempt=7, kind=EndKind.DONE, checkpoint=""
        )
        with capture_lines() as lines:
            log_unlisted(
                worker, held, PollAnswer(clock_ms=0.0, running=(), ends=(end,))
            )
        self.assertEqual(lines, [])

    def test_unlisted_runs_are_logged(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances[0]
            with capture_lines() as captured:
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(2))
                await cluster.wait_until(lambda: len(cluster.list_runs()) == 2)
                await cluster.wait_until(
                    lambda: count_lines(captured)["TASK_STARTED"] == 2
                )
                cluster.workers["w0"].crash()
                await cluster.wait_until(lambda: _has(captured, "TASK_GIVEN_UP"))
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        reasons = [line["why"] for line in lines if "silent_ms" in line]
        self.assertEqual(reasons, ["not listed", "not listed"])
        self.assertEqual(count_lines(lines)["WORKER_LOST"], 0)


class TimingLinesTest(unittest.TestCase):
    """Log lines on the waiting and run times of tasks, and on short services."""

    def test_wait_and_run_times_are_logged(self):
        lines: list[dict] = []

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                instance = await cluster.wait_for_owner()
                # Once a first job has completed, the owner has polled its worker.
                await cluster.send(instance, "POST", PREFIX + FIRST, build_body(1))
                await cluster.wait_for_state(instance, FIRST, "completed")
                captured.clear()
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(10))
                await cluster.wait_for_state(instance, JOB, "completed")
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=200.0)
        starts = [line for line in lines if line["event_name"] == "TASK_STARTED"]
        waited = [line for line in starts if "waited_ms" in line]
        self.assertEqual((len(starts), len(waited)), (10, 2), waited)
        self.assertEqual({line["waited_for"] for line in waited}, {"no room"})
        ended = next(line for line in lines if line["event_name"] == "TASK_ENDED")
        self.assertGreaterEqual(ended["ran_ms"], 190)
        self.assertEqual(ended["estimate_ms"], 200)

    def test_service_with_a_missing_task_is_logged(self):
        lines: list[dict] = []
        step = {"count": 2, "cpu": 500, "mem_mb": 10, "long_running": True}
        body = json.dumps({"spec": "x", "steps": [step]}).encode()

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                instance = await cluster.wait_for_owner()
                await cluster.send(instance, "POST", PREFIX + JOB, body)
                await cluster.wait_until(lambda: _has(captured, "SERVICE_SHORT"))
                lines.extend(captured)

        run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        short = find_line(lines, "SERVICE_SHORT")
        # Tasks of the simulated worker never complete their start.
        self.assertEqual((short["job"], short["tasks"], short["away"]), (JOB, 2, 2.0))
        self.assertEqual(find_line(lines, "JOB_ACCEPTED")["services"], {"0": 2})

    def test_named_service_steps(self):
        # Guards against log lines of unbounded length, and against the inclusion of
        # batch steps and of steps that depend on others.
        service = Step(count=3, demand=Demand(cpu=1000), long_running=True)
        later = attrs.evolve(service, after=(0,))
        batch = attrs.evolve(service, long_running=False)
        job = Job(
            job_id=JOB,
            queue="q",
            accepted_ms=0.0,
            spec="x",
            steps=(batch, service, later, *[service] * 20),
        )
        self.assertEqual(
            describe_services(job),
            {"services": dict.fromkeys(("1", *map(str, range(3, 10))), 3)},
        )
        self.assertEqual(describe_services(attrs.evolve(job, steps=(batch,))), {})

    def test_slow_answer_to_an_order_is_logged(self):
        # Guards against delays after the placement of a task that are not logged.
        lines: list[dict] = []
        start = WorkerClient.start

        async def start_slowly(client: WorkerClient, order: StartOrder) -> OrderOutcome:
            await trio.sleep(0.15)
            return await start(client, order)

        async def scenario(cluster: Cluster) -> None:
            with capture_lines() as captured:
                instance = await cluster.wait_for_owner()
                await cluster.send(instance, "POST", PREFIX + JOB, build_body(1))
                await cluster.wait_until(lambda: _has(captured, "TASK_STARTED"))
                lines.extend(captured)

        with mock.patch.object(WorkerClient, "start", start_slowly):
            run_cluster(scenario, instances=1, workers=1, task_ms=60_000.0)
        started = find_line(lines, "TASK_STARTED")
        self.assertGreaterEqual(started["answered_ms"], 140)
        self.assertGreaterEqual(started["ordered_ms"], 0)
