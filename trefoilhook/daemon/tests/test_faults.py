"""Fault tests with daemon processes that are killed, suspended or stopped under load.

The answers that callers got are compared with the records of the stand-ins.
"""

import signal
import unittest

import trio

from trefoilhook.daemon.tests.processes import (
    OPERATOR,
    TEAM,
    Load,
    ProcessCluster,
    format_key,
    run_processes,
)
from trefoilhook.exceptions import TransportError
from trefoilhook.instances import InstanceState
from trefoilhook.requests import generate_key
from trefoilhook.results import Outcome, ResultCode
from trefoilhook.standins import Availability, FaultSettings, TcpCut


class ProcessFaultTest(unittest.TestCase):
    """Each test injects one kind of fault under load."""

    def _check(self, cluster: ProcessCluster, *loads: Load) -> None:
        """Compare the answers that callers got with the records of the executors."""
        self.assertEqual(cluster.list_repeated_requests("seat-sale"), [])
        self.assertEqual(cluster.count_overloads(), 0)
        for load in loads:
            run = cluster.list_executed_requests(load.service)
            executed = {
                k for k, a in load.answers if a.code.outcome is Outcome.EXECUTED
            }
            not_run = {k for k, a in load.answers if a.code.outcome is Outcome.NOT_RUN}
            self.assertLessEqual(executed, run)
            self.assertEqual(not_run & run, set())
            self.assertGreater(len(executed), 20)

    def test_killed_owner(self):
        # An owner is killed with requests in progress. Callers may get no answer or an
        # unknown outcome, but no sale may run twice and none reported as "not run" may
        # have run. Once the owner's lease has expired, its shards are served again.
        async def scenario(cluster: ProcessCluster) -> None:
            sales = Load(cluster=cluster, service="seat-sale")
            checks = Load(cluster=cluster, service="seat-check")
            async with trio.open_nursery() as nursery:
                for daemon in cluster.daemons[1:]:
                    for load in (sales, checks):
                        nursery.start_soon(load.run, daemon)
                await trio.sleep(1)
                cluster.daemons[0].send_signal(signal.SIGKILL)
                await cluster.daemons[0].process.wait()
                await cluster.wait_settled()
                await trio.sleep(1)
                before = len(sales.answers)
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            late = [a.code for _, a in sales.answers[before:]]
            self.assertIn(ResultCode.OK, late)
            self._check(cluster, sales, checks)

        run_processes(scenario)

    def test_suspended_owner(self):
        # An owner is suspended with requests in progress until its lease has expired
        # and other instances have taken over its shards, and is then resumed. It must
        # neither run a sale a second time nor use slots that the new owner counts as
        # free.
        async def scenario(cluster: ProcessCluster) -> None:
            sales = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                for daemon in cluster.daemons:
                    for _ in range(3):
                        nursery.start_soon(sales.run, daemon)
                await trio.sleep(1)
                suspended = cluster.daemons[0]
                suspended.send_signal(signal.SIGSTOP)
                await cluster.wait_settled(without=(suspended,))
                await trio.sleep(1)
                suspended.send_signal(signal.SIGCONT)
                await trio.sleep(4)
                nursery.cancel_scope.cancel()
            self._check(cluster, sales)

        run_processes(scenario, service_time_ms=30.0)

    def test_graceful_shutdown_cuts_off_no_request(self):
        # All daemons but one are shut down in turn under load. A request in progress
        # must get its complete answer; only new connections may be refused.
        async def scenario(cluster: ProcessCluster) -> None:
            sales = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                for daemon in cluster.daemons:
                    for _ in range(6):
                        nursery.start_soon(sales.run, daemon)
                await trio.sleep(1)
                for daemon in cluster.daemons[:2]:
                    daemon.send_signal(signal.SIGTERM)
                    code = await daemon.process.wait()
                    self.assertEqual(code, 0)
                    await cluster.wait_settled()
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            unknown = [
                (key, answer.code)
                for key, answer in sales.answers
                if answer.code.outcome is Outcome.UNKNOWN
            ]
            self.assertEqual(unknown, [])
            self.assertEqual(
                set(sales.failed_keys) & cluster.list_executed_requests("seat-sale"),
                set(),
            )
            self._check(cluster, sales)

        run_processes(scenario, service_time_ms=30.0)

    def test_store_down_for_longer_than_a_lease(self):
        # The store is down for three lease periods. The owners keep serving requests,
        # and a new job is refused immediately as not run.
        async def scenario(cluster: ProcessCluster) -> None:
            sales = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                for daemon in cluster.daemons:
                    nursery.start_soon(sales.run, daemon)
                await trio.sleep(1)
                down = FaultSettings(availability=Availability.REFUSING)
                await cluster.platform.store.server.change_faults(down)
                before = len(sales.answers)
                await trio.sleep(15)
                admin = cluster.open_admin(cluster.daemons[1], OPERATOR)
                status, answer = await admin.send_request(
                    "POST", f"/v1/teams/{TEAM}/jobs", {"name": "roster"}
                )
                await admin.close()
                await cluster.platform.store.server.change_faults(FaultSettings())
                await cluster.wait_settled()
                await trio.sleep(3)
                nursery.cancel_scope.cancel()
            self.assertEqual(status, 503, answer)
            codes = {a.code for _, a in sales.answers[before:]}
            self.assertEqual(codes, {ResultCode.OK})
            self.assertEqual(sales.failed_keys, [])
            self._check(cluster, sales)

        run_processes(scenario)

    def test_retry_at_another_instance_after_kill(self):
        # The instance that accepted a sale is killed while the sale runs, and the
        # caller retries with the same key at another instance. It gets the answer of
        # the first run or an unknown outcome; the sale must not run twice.
        async def scenario(cluster: ProcessCluster) -> None:
            entry = cluster.open_entry(cluster.daemons[0])
            other = cluster.open_entry(cluster.daemons[1])
            keys = [format_key(generate_key()) for _ in range(12)]
            codes = []

            async def sell(key: str) -> None:
                try:
                    await entry.send(TEAM, "seat-sale", b"seat", key=key)
                except TransportError:
                    answer = await other.send(TEAM, "seat-sale", b"seat", key=key)
                    codes.append(answer.code)

            async with trio.open_nursery() as nursery:
                for key in keys:
                    nursery.start_soon(sell, key)
                await trio.sleep(0.2)
                cluster.daemons[0].send_signal(signal.SIGKILL)
            self.assertGreater(len(codes), 0)
            self.assertEqual(cluster.list_repeated_requests("seat-sale"), [])

        run_processes(scenario, service_time_ms=600.0)

    def test_job_survives_its_owner(self):
        # The owner of the worker shard is killed while a job runs. The job must end
        # with its result and must not be started a second time.
        async def scenario(cluster: ProcessCluster) -> None:
            owner = await cluster.find_owner("wrk-000", via=cluster.daemons[0])
            other = next(d for d in cluster.daemons if d is not owner)
            admin = cluster.open_admin(other, OPERATOR)
            body = {"name": "roster", "is_idempotent": True, "declared_run_ms": 12_000}
            path = f"/v1/teams/{TEAM}/jobs"
            job_id = (await admin.send("POST", path, body))["job_id"]
            await trio.sleep(1)
            owner.send_signal(signal.SIGKILL)
            await owner.process.wait()
            record = {"state": ""}
            while record["state"] != "ended":
                await trio.sleep(0.2)
                status, found = await admin.send_request("GET", f"{path}/{job_id}")
                record = found if status == 200 else record
            await admin.close()
            self.assertEqual(record["result_number"], ResultCode.OK.number, record)
            starts = [
                start
                for worker in cluster.platform.workers.values()
                for start in worker.records.starts
                if start.job_id == job_id
            ]
            self.assertEqual(len(starts), 1)

        run_processes(scenario)

    def test_owner_killed_and_another_started_while_the_store_is_down(self):
        # While the store is down, an owner is killed and a new instance is started. The
        # new instance must get the configuration from its seed peer and serve callers.
        # The remaining instances keep serving their shards, and the shards of the
        # killed owner are taken over only when the store is back.
        async def scenario(cluster: ProcessCluster) -> None:
            survivor, victim = cluster.daemons[0], cluster.daemons[2]
            sales = Load(cluster=cluster, service="seat-sale")
            late = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sales.run, survivor)
                await trio.sleep(1)
                down = FaultSettings(availability=Availability.REFUSING)
                await cluster.platform.store.server.change_faults(down)
                await trio.sleep(1)
                victim.send_signal(signal.SIGKILL)
                await victim.process.wait()
                added = await cluster.add_daemon(peers=(survivor,))
                nursery.start_soon(late.run, added)
                await trio.sleep(8)
                codes = {answer.code for _, answer in late.answers}
                self.assertIn(ResultCode.OK, codes)
                self.assertIn(ResultCode.OK, {a.code for _, a in sales.answers[-50:]})
                await cluster.platform.store.server.change_faults(FaultSettings())
                await cluster.wait_settled()
                await trio.sleep(2)
                nursery.cancel_scope.cancel()
            self._check(cluster, sales, late)

        run_processes(scenario)

    def test_leaving_executor_gets_no_requests_despite_list_lag(self):
        # An executor starts to leave, and the instance list reports it 1 s late. 3 s
        # after the change, the executor must get no more requests.
        async def scenario(cluster: ProcessCluster) -> None:
            cluster.platform.instance_list.lag_ms = 1_000.0
            sales = Load(cluster=cluster, service="seat-sale")
            leaving = cluster.platform.executors["seat-sale-0"]
            async with trio.open_nursery() as nursery:
                for daemon in cluster.daemons:
                    for _ in range(8):
                        nursery.start_soon(sales.run, daemon)
                await trio.sleep(2)
                self.assertGreater(len(leaving.records.runs), 0)
                cluster.platform.instance_list.set_state(
                    "seat-sale-0", InstanceState.LEAVING
                )
                await trio.sleep(3)
                before = len(leaving.records.runs)
                await trio.sleep(2)
                nursery.cancel_scope.cancel()
            self.assertEqual(len(leaving.records.runs), before)
            self._check(cluster, sales)

        run_processes(scenario, service_time_ms=30.0)

    def test_operators_race_through_two_instances(self):
        # Two operators read the same revision of a team's configuration and change it
        # concurrently through different instances. One change is accepted and the other
        # is refused as a conflict. A third change, based on the same revision and sent
        # after the first is in force, is refused too, and all instances show the
        # accepted value.
        async def scenario(cluster: ProcessCluster) -> None:
            path = f"/v1/config/teams/{TEAM}"
            admins = [cluster.open_admin(each) for each in cluster.daemons]
            answers: dict[int, tuple[int, dict]] = {}
            current = await admins[0].send("GET", path)
            revision = current["revision"]

            async def change(number: int) -> None:
                target = f"{path}/services/check-{number}?revision={revision}"
                answers[number] = await admins[number].send_request(
                    "PUT", target, {"is_idempotent": True}
                )

            async with trio.open_nursery() as nursery:
                for number in (0, 1):
                    nursery.start_soon(change, number)
            statuses = sorted(status for status, _ in answers.values())
            self.assertEqual(statuses, [200, 409], answers)
            winner = next(n for n, (status, _) in answers.items() if status == 200)
            accepted = answers[winner][1]["revision"]
            target = f"/v1/config/wait?revision={accepted}&timeout_ms=10000"
            await admins[2].send("GET", target)
            await change(2)
            self.assertEqual(answers[2][0], 409, answers[2])
            for admin in admins:
                shown = await admin.send("GET", path)
                self.assertEqual(shown["revision"], accepted)
                self.assertIn(f"check-{winner}", str(shown))
                self.assertNotIn(f"check-{1 - winner}", str(shown))
                await admin.close()

        run_processes(scenario)

    def test_store_connections_stop_responding(self):
        # A middlebox between an instance and the store drops the state of its
        # connections: these stay open but carry no data, while new connections work.
        # The instance must reconnect in time to keep its lease, and no shard may move.
        async def scenario(cluster: ProcessCluster) -> None:
            platform = cluster.platform
            cut = TcpCut(
                clock=platform.clock,
                target_host="127.0.0.1",
                target_port=platform.store_port,
            )
            sales = Load(cluster=cluster, service="seat-sale")
            async with trio.open_nursery() as nursery:
                platform.store_port = await nursery.start(cut.run)
                victim = await cluster.add_daemon()
                nursery.start_soon(sales.run, victim)
                before: list[dict] = []
                while victim.instance_id not in str(before):
                    await trio.sleep(1)
                    await cluster.wait_settled()
                    before = (await cluster.read_status(cluster.daemons[0]))["shards"]
                for _ in range(2):
                    self.assertGreater(cut.blackhole_connections(), 0)
                    await trio.sleep(6)
                after = (await cluster.read_status(cluster.daemons[0]))["shards"]
                nursery.cancel_scope.cancel()
            self.assertGreater(cut.dropped_bytes, 0)
            self.assertEqual(_read_epochs(after), _read_epochs(before))
            self._check(cluster, sales)

        run_processes(scenario)


def _read_epochs(shards: list[dict]) -> dict[str, tuple[str, int]]:
    return {s["shard_id"]: (s["owner_instance_id"], s["epoch"]) for s in shards}
