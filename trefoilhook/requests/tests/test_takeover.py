"""Changes of shard ownership: slot accounting, key tables and late handovers."""

import unittest

import attrs
import trio

from trefoilhook.requests import Attempt, RequestSettings, ServiceSettings
from trefoilhook.requests.slots import AttemptOutcome
from trefoilhook.requests.tests.fakes import (
    Cluster,
    build_request,
    generate_key_at,
    run_virtual,
)
from trefoilhook.results import Outcome, ResultCode

_ONE_EXECUTOR = {"instance_count": 2, "executor_count": 1}


def run_scenario(cluster, scenario):
    """Run ``scenario`` against a started cluster."""

    async def body():
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    run_virtual(body)


class SlotTakeoverTest(unittest.TestCase):
    """Change of the owner of an executor's shard."""

    def send_many(self, cluster, nursery, count, answers):
        """Send requests through the instance that owns the executor."""
        shard_id = cluster.find_executor_shard("exec-0")
        owner = cluster.owners[shard_id].instance_id

        async def ask():
            request = build_request(cluster.generate_key(owner=owner))
            answers.append(await cluster.services[owner].handle_caller(request))

        for _ in range(count):
            nursery.start_soon(ask)

    def take_over(self, cluster):
        """Move the executor's shard; return (old, new)."""
        shard_id = cluster.find_executor_shard("exec-0")
        old = cluster.owners[shard_id].instance_id
        new = "i1" if old == "i0" else "i0"
        cluster.move_shard(shard_id, new)
        return old, new

    def test_slots_of_crashed_owners_requests_are_not_assigned_twice(self):
        # An owner crashes while an executor runs eight of its requests. The next owner
        # must not send more until the executor reports that some of them have ended.
        cluster = Cluster(**_ONE_EXECUTOR, service=ServiceSettings(timeout_ms=9e3))
        executors = cluster.executors
        answers = []

        async def scenario(nursery):
            executors["exec-0"].run_ms = 3_000.0
            self.send_many(cluster, nursery, 8, answers)
            await trio.sleep(0.1)
            self.assertEqual(executors["exec-0"].running, 8)
            self.take_over(cluster)
            executors["exec-0"].run_ms = 50.0
            await trio.sleep(1.2)
            self.send_many(cluster, nursery, 30, answers)
            await trio.sleep(9)

        run_scenario(cluster, scenario)
        self.assertEqual(executors["exec-0"].high_water, 8)
        codes = [each.code for each in answers]
        self.assertEqual(codes.count(ResultCode.OK), 38, codes)

    def test_one_slot_is_reserved_for_suspended_previous_owner(self):
        # An owner is suspended between its last ownership check and the send. The next
        # owner fills the executor, then the old owner resumes and its request arrives.
        # The executor must not exceed its slots.
        cluster = Cluster(**_ONE_EXECUTOR, service=ServiceSettings(timeout_ms=9e3))
        executors = cluster.executors
        answers = []

        async def scenario(nursery):
            self.take_over(cluster)
            await trio.sleep(0.5)
            executors["exec-0"].run_ms = 1_000.0
            self.send_many(cluster, nursery, 20, answers)
            await trio.sleep(0.2)
            arriving = executors["exec-0"].running + 1
            self.assertLessEqual(arriving, 8)
            await trio.sleep(61)
            self.send_many(cluster, nursery, 20, answers)
            await trio.sleep(0.2)
            self.assertEqual(executors["exec-0"].running, 8)

        run_scenario(cluster, scenario)

    def test_handover_frees_all_slots_at_once(self):
        cluster = Cluster(**_ONE_EXECUTOR)
        executors = cluster.executors
        answers = []

        async def scenario(nursery):
            shard_id = cluster.find_executor_shard("exec-0")
            old, new = self.take_over(cluster)
            handover = cluster.services[old].export_handover(shard_id, 1)
            cluster.services[new].import_handover(handover)
            await trio.sleep(0.15)
            executors["exec-0"].run_ms = 1_000.0
            self.send_many(cluster, nursery, 20, answers)
            await trio.sleep(0.1)
            self.assertEqual(executors["exec-0"].running, 8)

        run_scenario(cluster, scenario)

    def test_queued_requests_follow_the_executor(self):
        # An executor moves to another owner while requests are queued for it. They must
        # be forwarded there instead of waiting until their deadlines.
        cluster = Cluster(**_ONE_EXECUTOR)
        answers = []

        async def scenario(nursery):
            cluster.executors["exec-0"].run_ms = 1_000.0
            self.send_many(cluster, nursery, 10, answers)
            await trio.sleep(0.1)
            cluster.executors["exec-0"].run_ms = 50.0
            self.take_over(cluster)
            await trio.sleep(3)

        run_scenario(cluster, scenario)
        codes = [each.code for each in answers]
        self.assertEqual(codes, [ResultCode.OK] * 10)

    def test_late_handover_of_previous_owner_is_ignored(self):
        # A handover is delayed while another instance owns the shard and uses the
        # executor. It does not cover that instance's requests, so its slot counts must
        # be ignored.
        cluster = Cluster(instance_count=3, executor_count=1)
        executors = cluster.executors
        answers = []

        async def scenario(nursery):
            key_shard = cluster.find_executor_shard("exec-0")
            owner = cluster.owners[key_shard].instance_id
            first, second, third = (owner, *({"i0", "i1", "i2"} - {owner}))
            handover = cluster.services[first].export_handover(key_shard, 1)
            cluster.move_shard(key_shard, second)
            await trio.sleep(1)
            executors["exec-0"].run_ms = 5_000.0
            executors["exec-0"].orphans = 3
            cluster.move_shard(key_shard, third)
            cluster.services[third].import_handover(handover)
            await trio.sleep(0.15)
            pool = cluster.services[third].pool
            slots = pool.get("exec-0").slots
            self.assertTrue(slots.is_count_unknown)
            await trio.sleep(0.3)
            self.assertEqual(slots.unconfirmed, 3)

        run_scenario(cluster, scenario)
        self.assertEqual(answers, [])


class KeyTakeoverTest(unittest.TestCase):
    """Change of the owner of a key's shard."""

    def test_late_handover_admits_no_unknown_key(self):
        cluster = Cluster(instance_count=3)
        codes = []

        async def scenario(nursery):
            key = cluster.generate_key(owner="i0")
            shard_id = cluster.find_key_shard(key)
            owner_i0 = cluster.services["i0"]._key_owner
            owner_i0._get_table(shard_id, 1)
            handover = owner_i0.export_keys(shard_id, 1)
            handover = attrs.evolve(handover, known_from_ms=0.0)
            for name, expected in (("i1", "direct"), ("i2", "late")):
                cluster.move_shard(shard_id, name)
                cluster.services[name]._key_owner.import_keys(shard_id, handover)
                fresh = cluster.generate_key()
                while cluster.find_key_shard(fresh) != shard_id:
                    fresh = cluster.generate_key()
                answer = await cluster.services[name].handle_caller(
                    build_request(fresh)
                )
                codes.append((expected, answer.code))

        run_scenario(cluster, scenario)
        self.assertEqual(
            codes,
            [("direct", ResultCode.OK), ("late", ResultCode.OUTCOME_UNKNOWN)],
        )

    def test_reclaimed_shard_starts_with_empty_table(self):
        # A shard moves to another instance, which runs a request and crashes, and back.
        # The table of the first period does not contain that key and must not be used.
        cluster = Cluster(instance_count=2)
        answers = []

        async def scenario(nursery):
            await trio.sleep(0.05)  # between two runs of the maintenance
            key = cluster.generate_key(owner="i0")
            shard_id = cluster.find_key_shard(key)
            owner = cluster.services["i0"]._key_owner
            table = owner._get_table(shard_id, 1)
            table.import_records(known_from_ms=0.0, records=[])
            for executor in cluster.executors.values():
                executor.run_ms = 1.0
            request = build_request(key)
            cluster.move_shard(shard_id, "i1")
            cluster.ownerships["i1"].since_wall_ms[shard_id] = 0.0
            answers.append(await cluster.services["i1"].handle_caller(request))
            cluster.move_shard(shard_id, "i0")
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        codes = [each.code for each in answers]
        self.assertEqual(codes, [ResultCode.OK, ResultCode.OUTCOME_UNKNOWN])

    def test_key_time_is_compared_with_clock_read_before_ownership_check(self):
        # An owner is suspended for ten seconds during its ownership check. With the
        # time after it, a key from the future would be accepted, which the instance
        # that owns the shard by then would accept as well.
        cluster = Cluster(instance_count=1)
        codes = []

        async def scenario(nursery):
            await trio.sleep(0.05)  # between two runs of the maintenance
            ownership = cluster.ownerships["i0"]
            key = generate_key_at(cluster.clock.wall_ms() + 5_000.0)

            def suspend():
                cluster.wall_jump_ms = 10_000.0

            ownership.before_check = suspend
            answer = await cluster.services["i0"].handle_caller(build_request(key))
            codes.append(answer.code)

        run_scenario(cluster, scenario)
        self.assertEqual(codes, [ResultCode.KEY_AHEAD])

    def test_table_of_earlier_claim_is_not_reused(self):
        # As above, but the shard returns before maintenance has removed the table.
        cluster = Cluster(instance_count=2)
        answers = []

        async def scenario(nursery):
            key = cluster.generate_key(owner="i0")
            shard_id = cluster.find_key_shard(key)
            owner = cluster.services["i0"]._key_owner
            table = owner._get_table(shard_id, 1)
            table.import_records(known_from_ms=0.0, records=[])
            cluster.move_shard(shard_id, "i1")
            cluster.move_shard(shard_id, "i0")
            request = build_request(key)
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.OUTCOME_UNKNOWN)

    def test_handover_received_before_claim_is_kept(self):
        cluster = Cluster(instance_count=2)
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key(owner="i0"))
            shard_id = cluster.find_key_shard(request.key)
            await cluster.services["i0"].handle_caller(request)
            handover = cluster.services["i0"].export_handover(shard_id, 1)
            cluster.services["i1"].import_handover(handover)
            cluster.move_shard(shard_id, "i1")
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.REPLAYED)

    def test_resumed_ownership_keeps_the_keys(self):
        # The store is unavailable and an owner may temporarily not act. No other
        # instance claims the shard, and ownership resumes at the same epoch. A
        # caller's retry must still get its answer.
        cluster = Cluster(instance_count=2)
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key(owner="i0"))
            shard_id = cluster.find_key_shard(request.key)
            service = cluster.services["i0"]
            answers.append(await service.handle_caller(request))
            serving_epochs = cluster.ownerships["i0"].serving_epochs
            epoch = serving_epochs.pop(shard_id)
            await trio.sleep(1)
            answers.append(await service.handle_caller(request))
            serving_epochs[shard_id] = epoch
            answers.append(await service.handle_caller(request))

        run_scenario(cluster, scenario)
        codes = [each.code for each in answers]
        self.assertEqual(
            codes, [ResultCode.OK, ResultCode.ATTEMPT_NOT_RUN, ResultCode.REPLAYED]
        )

    def test_idempotent_request_runs_without_key_owner(self):
        # A key's owner is unreachable. An idempotent request may run twice and need not
        # wait for the takeover.
        cluster = Cluster(service=ServiceSettings(is_idempotent=True))
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key(owner="i1"))
            cluster.inners["i0"].unreachable = {"i1"}
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.OK)


class FaultTest(unittest.TestCase):
    """Faults without a change of owner."""

    def test_unresponsive_owner_does_not_delay_caller_past_deadline(self):
        # An owner is suspended; the link to it is up but no answer arrives. The caller
        # is told at its deadline that the outcome is unknown.
        cluster = Cluster()
        result = []

        async def scenario(nursery):
            service = cluster.services["i0"]
            cluster.inners["i0"].silent = {"i1"}
            request = build_request(cluster.generate_key(owner="i1"), timeout_ms=400.0)
            begun = trio.current_time()
            with trio.fail_after(10):
                answer = await service.handle_caller(request)
            result.append((answer.code, trio.current_time() - begun))

        run_scenario(cluster, scenario)
        code, waited_s = result[0]
        self.assertIs(code, ResultCode.DEADLINE_AFTER_SEND)
        self.assertAlmostEqual(waited_s, 0.4, delta=0.001)

    def test_late_refusal_leaves_the_time_of_a_handover(self):
        # Under load, an owner may read a request only after it has begun to hand its
        # shard over. Guards against the time before this late refusal counting towards
        # the entry's wait for the new owner.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key(owner="i1"))
            shard_id = cluster.find_key_shard(request.key)
            cluster.ownerships["i1"].serving_epochs.pop(shard_id)
            handover = cluster.services["i1"].export_handover(shard_id, 1)
            cluster.inners["i0"].delay_ms = 300.0

            async def hand_over():
                await trio.sleep(0.5)
                cluster.inners["i0"].delay_ms = 1.0
                await trio.sleep(0.2)
                cluster.services["i2"].import_handover(handover)
                cluster.claim_shard(shard_id, "i2")

            nursery.start_soon(hand_over)
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.OK)
        self.assertEqual(cluster.count_runs(), 1)

    def test_search_for_an_owner_ends_before_the_deadline(self):
        # The owner refuses late, and no instance takes over. Guards against retries
        # until the caller's deadline.
        cluster = Cluster()
        answers = []
        waited_ms = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key(owner="i1"))
            shard_id = cluster.find_key_shard(request.key)
            cluster.ownerships["i1"].serving_epochs.pop(shard_id)
            cluster.inners["i0"].delay_ms = 100.0
            begun = trio.current_time()
            answers.append(await cluster.services["i0"].handle_caller(request))
            waited_ms.append((trio.current_time() - begun) * 1000.0)

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.ATTEMPT_NOT_RUN)
        self.assertGreaterEqual(waited_ms[0], 500.0)
        self.assertLess(waited_ms[0], 1_000.0)

    def test_queued_request_is_refused_before_its_deadline(self):
        # The slots are held by requests that run much longer than average. A request
        # that stays queued was not run, and its caller must not be told "unknown".
        cluster = Cluster(instance_count=2, executor_count=1)
        answers = []

        async def scenario(nursery):
            cluster.executors["exec-0"].run_ms = 20_000.0

            async def ask(owner, timeout_ms):
                request = build_request(
                    cluster.generate_key(owner), timeout_ms=timeout_ms
                )
                service = cluster.services["i0"]
                answers.append(await service.handle_caller(request))

            for _ in range(8):
                nursery.start_soon(ask, "i0", 5_000.0)
            await trio.sleep(0.1)
            for owner in ("i0", "i1"):
                nursery.start_soon(ask, owner, 1_000.0)
            await trio.sleep(2)

        run_scenario(cluster, scenario)
        codes = [each.code for each in answers]
        self.assertEqual(codes, [ResultCode.QUEUE_DEADLINE] * 2)

    def test_nothing_is_sent_after_deadline_or_to_leaving_executor(self):
        # A request has a slot and waits for a connection. Meanwhile its caller is told
        # "not run" or the executor starts leaving, so it must not be sent any more.
        for fault in ("deadline", "leaving"):
            with self.subTest(fault):
                cluster = Cluster(instance_count=1, executor_count=1)

                async def scenario(nursery, cluster=cluster, fault=fault):
                    executor = cluster.executors["exec-0"]
                    executor.stall_before_send = trio.Event()
                    service = cluster.services["i0"]
                    request = build_request(cluster.generate_key(), timeout_ms=1_000.0)
                    nursery.start_soon(service.handle_caller, request)
                    await executor.stalled.wait()
                    if fault == "deadline":
                        await trio.sleep(2)
                    else:
                        target = attrs.evolve(cluster.targets[0], is_leaving=True)
                        cluster.targets[0] = target
                        await trio.sleep(0.2)
                    executor.stall_before_send.set()
                    await trio.sleep(1)

                run_scenario(cluster, scenario)
                self.assertEqual(cluster.count_runs(), 0)

    def test_not_run_after_lost_answer_is_reported_as_unknown(self):
        # The link fails while the key's owner answers. A second copy is refused as not
        # run, but the first may still be in transit to the owner.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            for executor in cluster.executors.values():
                executor.refuse_connections = True
            cluster.inners["i0"].lost_answers = 1
            request = build_request(
                cluster.generate_key(owner="i1"), attempt=Attempt.FIRST
            )
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertIs(answers[0].code.outcome, Outcome.UNKNOWN)

    def test_executor_that_refuses_connections_is_skipped(self):
        # One of three executors is down but still listed. Its owner detects that
        # nothing was sent and sends the request to another executor.
        cluster = Cluster(instance_count=1)
        answers = []

        async def scenario(nursery):
            cluster.executors["exec-0"].refuse_connections = True
            for _ in range(40):
                request = build_request(cluster.generate_key())
                answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual({each.code for each in answers}, {ResultCode.OK})

    def test_cancelled_request_releases_its_slot(self):
        # A waiting request is cancelled at the moment at which it is granted a slot.
        # The slot must not be leaked.
        cluster = Cluster(instance_count=1, executor_count=1)

        async def scenario(nursery):
            pool = cluster.services["i0"].pool
            fields = {"deadline_ms": 1e12, "max_waiting": 9}
            grants = [await pool.acquire("sky/seats", **fields) for _ in range(8)]
            scope = trio.CancelScope()

            async def wait():
                with scope:
                    await pool.acquire("sky/seats", **fields)

            nursery.start_soon(wait)
            await trio.sleep(0.01)
            scope.cancel()
            pool.release(grants[0], AttemptOutcome.ANSWERED)
            await trio.sleep(0.01)
            self.assertEqual(pool.get("exec-0").slots.in_progress, 7)

        run_scenario(cluster, scenario)

    def test_drain_waits_for_requests_in_progress(self):
        cluster = Cluster(instance_count=1)
        answers = []

        async def scenario(nursery):
            service = cluster.services["i0"]

            async def ask():
                request = build_request(cluster.generate_key())
                answers.append(await service.handle_caller(request))

            nursery.start_soon(ask)
            await trio.sleep(0.01)
            await service.drain(grace_ms=5_000.0)
            self.assertEqual(service.requests_in_progress, 0)
            self.assertEqual(len(answers), 1)
            await ask()

        run_scenario(cluster, scenario)
        self.assertEqual(answers[0].code, ResultCode.OK)
        self.assertEqual(answers[1].code.outcome, Outcome.UNKNOWN)

    def test_hedge_sends_second_copy_of_slow_request(self):
        settings = RequestSettings(shard_count=8, is_hedging=True)
        service = ServiceSettings(is_idempotent=True)
        cluster = Cluster(instance_count=1, settings=settings, service=service)
        waited = []

        async def scenario(nursery):
            async def ask():
                begun = trio.current_time()
                await cluster.services["i0"].handle_caller(build_request())
                waited.append(trio.current_time() - begun)

            for _ in range(100):
                await ask()
            for executor in cluster.executors.values():
                executor.run_ms = 50.0
            first = cluster.services["i0"].pool._choose_free("sky/seats")
            cluster.executors[first.target.executor_id].run_ms = 5_000.0
            await ask()

        run_scenario(cluster, scenario)
        self.assertLess(waited[-1], 0.2)


if __name__ == "__main__":
    unittest.main()
