"""Requests through a cluster of several instances, with faults."""

import unittest

import attrs
import trio

from trefoilhook.requests import Attempt, RequestSettings, ServiceSettings
from trefoilhook.requests.tests.fakes import Cluster, build_request, run_virtual
from trefoilhook.results import Outcome, ResultCode


def run_scenario(cluster, scenario):
    """Run ``scenario`` against a started cluster."""

    async def body():
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    run_virtual(body)


class PathTest(unittest.TestCase):
    """Answers to callers, compared with what the executors ran."""

    def test_each_entry_returns_complete_answer(self):
        cluster = Cluster()

        async def scenario(nursery):
            for service in cluster.services.values():
                answer = await service.handle_caller(
                    build_request(cluster.generate_key())
                )
                self.assertEqual(answer.code, ResultCode.OK)
                self.assertEqual(answer.body, b"whole two")

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 3)

    def test_same_key_through_different_entries_runs_once(self):
        # A client sends the same request several times, and the load balancer selects
        # different instances. All of them must return the answer of a single run.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key())

            async def send(service):
                answers.append(await service.handle_caller(request))

            async with trio.open_nursery() as senders:
                for service in cluster.services.values():
                    senders.start_soon(send, service)
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 1)
        self.assertEqual({each.body for each in answers}, {b"whole two"})
        self.assertEqual(answers[-1].code, ResultCode.REPLAYED)

    def test_request_is_retried_after_answer_lost_between_instances(self):
        # The link between two instances fails while an answer is in transit. The entry
        # repeats the request, and the caller gets the answer of the only run.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            cluster.inners["i0"].lost_answers = 1
            request = build_request(cluster.generate_key(owner="i1"))
            answers.append(await cluster.services["i0"].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 1)
        self.assertEqual(answers[0].body, b"whole two")

    def test_key_run_by_crashed_owner_is_never_run_again(self):
        # The key's owner runs a request and crashes before it answers. The caller
        # retries with the same key, of which the new owner has no record.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key())
            shard_id = cluster.find_key_shard(request.key)
            old = cluster.owners[shard_id].instance_id
            await cluster.services[old].handle_caller(request)
            new = next(name for name in cluster.services if name != old)
            cluster.move_shard(shard_id, new)
            answers.append(await cluster.services[new].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 1)
        self.assertEqual(answers[0].code, ResultCode.OUTCOME_UNKNOWN)

    def test_handover_preserves_answer(self):
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            request = build_request(cluster.generate_key())
            shard_id = cluster.find_key_shard(request.key)
            old = cluster.owners[shard_id].instance_id
            await cluster.services[old].handle_caller(request)
            new = next(name for name in cluster.services if name != old)
            cluster.move_shard(shard_id, new)
            handover = cluster.services[old].export_handover(shard_id, 1)
            cluster.services[new].import_handover(handover)
            answers.append(await cluster.services[new].handle_caller(request))

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 1)
        self.assertEqual(answers[0].code, ResultCode.REPLAYED)
        self.assertEqual(answers[0].body, b"whole two")

    def test_suspended_executor_owner_sends_nothing_after_losing_ownership(self):
        # An owner is suspended while a request waits for its connection, and another
        # instance becomes the owner of the executor. After resuming, the old owner must
        # not send the request, as the new owner now accounts for the slot.
        cluster = Cluster(instance_count=1, executor_count=1)
        answers = []

        async def scenario(nursery):
            executor = cluster.executors["exec-0"]
            executor.stall_before_send = trio.Event()

            async def ask():
                request = build_request(cluster.generate_key())
                answers.append(await cluster.services["i0"].handle_caller(request))

            nursery.start_soon(ask)
            await executor.stalled.wait()
            shard_id = cluster.find_executor_shard("exec-0")
            del cluster.ownerships["i0"].serving_epochs[shard_id]
            executor.stall_before_send.set()
            await trio.sleep(6)

        run_scenario(cluster, scenario)
        self.assertEqual(cluster.count_runs(), 0)
        self.assertEqual(answers[0].code.outcome, Outcome.NOT_RUN)

    def test_lost_answer_is_retried_only_if_idempotent(self):
        # An executor's connection breaks after a request was sent, and it is unknown
        # whether it ran. Neither the owner nor a retry of the caller may send it again,
        # unless it is idempotent.
        for is_idempotent, runs in ((False, 1), (True, 2)):
            with self.subTest(is_idempotent=is_idempotent):
                service = ServiceSettings(is_idempotent=is_idempotent)
                cluster = Cluster(service=service)
                answers = []

                async def scenario(nursery, cluster=cluster, answers=answers):
                    for name in list(cluster.executors)[:3]:
                        cluster.executors[name].lose_answers = 1
                    if cluster.service.is_idempotent:
                        for name in list(cluster.executors)[1:]:
                            cluster.executors[name].lose_answers = 0
                    request = build_request(cluster.generate_key())
                    for _ in range(2):
                        service = cluster.services["i0"]
                        answers.append(await service.handle_caller(request))

                run_scenario(cluster, scenario)
                if is_idempotent:
                    self.assertLessEqual(cluster.count_runs(), runs)
                    self.assertEqual(answers[0].code, ResultCode.OK)
                else:
                    self.assertEqual(cluster.count_runs(), runs)
                    codes = [each.code for each in answers]
                    lost, unknown = ResultCode.ANSWER_LOST, ResultCode.OUTCOME_UNKNOWN
                    self.assertEqual(codes, [lost, unknown])

    def test_answer_without_key_owner_does_not_cover_earlier_attempts(self):
        # A caller retries after a lost answer, through an instance that finds no owner.
        # If told "not run", it would repeat the request with a new key although the
        # first attempt was run.
        table = (
            (Attempt.UNSPECIFIED, ResultCode.ATTEMPT_NOT_RUN),
            (Attempt.REPEATED, ResultCode.ATTEMPT_NOT_RUN),
            (Attempt.FIRST, ResultCode.NO_OWNER),
        )
        cluster = Cluster()

        async def scenario(nursery):
            for attempt, code in table:
                request = build_request(cluster.generate_key(), attempt=attempt)
                cluster.owners.pop(cluster.find_key_shard(request.key), None)
                answer = await cluster.services["i0"].handle_caller(request)
                self.assertEqual(answer.code, code)

        run_scenario(cluster, scenario)

    def test_key_created_just_before_takeover(self):
        table = (
            (Attempt.UNSPECIFIED, ResultCode.OUTCOME_UNKNOWN),
            (Attempt.FIRST, ResultCode.KEY_TOO_OLD),
        )
        for attempt, code in table:
            cluster = Cluster()
            answers = []

            async def scenario(nursery, cluster=cluster, answers=answers, a=attempt):
                request = build_request(cluster.generate_key(), attempt=a)
                cluster.move_shard(cluster.find_key_shard(request.key), "i2")
                answers.append(await cluster.services["i0"].handle_caller(request))

            run_scenario(cluster, scenario)
            self.assertEqual(answers[0].code, code)
            self.assertEqual(cluster.count_runs(), 0)

    def test_late_answer_is_kept_for_the_retry(self):
        # The executor answers after the caller's deadline. The caller gets a timeout at
        # its deadline, a retry gets the answer, and the request runs only once.
        cluster = Cluster()
        answers = []

        async def scenario(nursery):
            for executor in cluster.executors.values():
                executor.run_ms = 800.0
            request = build_request(cluster.generate_key(), timeout_ms=300.0)
            for _ in range(3):
                service = cluster.services["i0"]
                answers.append(await service.handle_caller(request))

        run_scenario(cluster, scenario)
        codes = [each.code for each in answers]
        self.assertEqual(codes[0], ResultCode.DEADLINE_AFTER_SEND)
        self.assertEqual(codes[2], ResultCode.OK)
        self.assertEqual(cluster.count_runs(), 1)

    def test_overload_never_exceeds_the_slots_and_refuses_in_time(self):
        # Many more requests than slots arrive at once through all entries. Each caller
        # must be answered by its deadline, and no executor may exceed its slots.
        cluster = Cluster(service=ServiceSettings(timeout_ms=400.0, max_queue=1000))
        answers = []
        late = []

        async def scenario(nursery):
            services = list(cluster.services.values())

            async def ask(service):
                begun = trio.current_time()
                request = build_request(cluster.generate_key())
                answers.append(await service.handle_caller(request))
                late.append(trio.current_time() - begun > 0.401)

            async with trio.open_nursery() as callers:
                for number in range(600):
                    callers.start_soon(ask, services[number % 3])

        run_scenario(cluster, scenario)
        codes = {each.code for each in answers}
        self.assertLessEqual(max(e.high_water for e in cluster.executors.values()), 8)
        self.assertIn(ResultCode.OK, codes)
        self.assertIn(ResultCode.OVERLOADED, codes)
        self.assertFalse(any(late))
        executed = sum(each.code is ResultCode.OK for each in answers)
        unknown = sum(each.code.outcome is Outcome.UNKNOWN for each in answers)
        self.assertLessEqual(executed, cluster.count_runs())
        self.assertLessEqual(cluster.count_runs(), executed + unknown)

    def test_quota_is_split_by_shards_and_refusal_has_retry_time(self):
        cluster = Cluster(quota_per_s=24.0)
        answers = []

        async def scenario(nursery):
            await trio.sleep(2)
            for _ in range(120):
                request = build_request(cluster.generate_key())
                answers.append(await cluster.services["i0"].handle_caller(request))

        settings = RequestSettings(shard_count=8)
        cluster.settings = attrs.evolve(settings, quota_burst_s=0.1)
        max_runs = 120 * 0.060 * 24 + 24
        run_scenario(cluster, scenario)
        refused = [each for each in answers if each.code is ResultCode.QUOTA_EXCEEDED]
        self.assertTrue(refused)
        self.assertTrue(all(each.retry_after_ms > 0 for each in refused))
        self.assertLess(cluster.count_runs(), max_runs)

    def test_leaving_executor_receives_no_new_request(self):
        cluster = Cluster(executor_count=2)

        async def scenario(nursery):
            cluster.targets[0] = attrs.evolve(cluster.targets[0], is_leaving=True)
            await trio.sleep(0.2)
            for service in cluster.services.values():
                for _ in range(4):
                    answer = await service.handle_caller(
                        build_request(cluster.generate_key())
                    )
                    self.assertEqual(answer.executor_id, "exec-1")

        run_scenario(cluster, scenario)
        self.assertEqual(len(cluster.executors["exec-0"].runs), 0)


if __name__ == "__main__":
    unittest.main()
