"""Load summaries sent to peers, and executors of newly claimed shards."""

import unittest

import attrs
import trio

from trefoilhook.inner.messages_pb2 import ServiceRequest
from trefoilhook.requests.tests.fakes import (
    Cluster,
    FakeCall,
    build_request,
    run_virtual,
)
from trefoilhook.results import ResultCode


def run_scenario(cluster, scenario):
    """Run ``scenario`` against a started cluster."""

    async def body():
        async with trio.open_nursery() as nursery:
            await cluster.start(nursery)
            await scenario()
            nursery.cancel_scope.cancel()

    run_virtual(body)


class SummaryTest(unittest.TestCase):
    """Load summaries of executors."""

    def test_unchanged_summaries_are_sent_only_before_expiry(self):
        # Summaries are due every 200 ms and expire after 1,000 ms. An idle owner sends
        # them only before they expire. An owner whose executors run requests sends each
        # of them, even if the counts are equal.
        for is_busy, least, most in ((False, 2, 3), (True, 9, 11)):
            with self.subTest(is_busy=is_busy):
                cluster = Cluster(instance_count=2, executor_count=1)
                cluster.settings = attrs.evolve(
                    cluster.settings, loads_interval_ms=200.0, loads_age_ms=1_000.0
                )
                counts = []

                async def scenario(cluster=cluster, is_busy=is_busy, counts=counts):
                    shard_id = cluster.find_executor_shard("exec-0")
                    name = cluster.owners[shard_id].instance_id
                    before = cluster.inners[name].messages_sent
                    end = trio.current_time() + 2
                    while trio.current_time() < end:
                        if is_busy:
                            request = build_request(cluster.generate_key())
                            await cluster.services[name].handle_caller(request)
                            await trio.sleep(0.04)
                        else:
                            await trio.sleep(0.1)
                    counts.append(cluster.inners[name].messages_sent - before)

                run_scenario(cluster, scenario)
                self.assertGreaterEqual(counts[0], least)
                self.assertLessEqual(counts[0], most)

    def test_summaries_of_idle_owner_do_not_expire(self):
        # Peers must keep a current summary of an idle owner. Otherwise they would not
        # use its free executors.
        cluster = Cluster(instance_count=2, executor_count=1)
        found = []

        async def scenario():
            shard_id = cluster.find_executor_shard("exec-0")
            owner = cluster.owners[shard_id].instance_id
            peer = "i1" if owner == "i0" else "i0"
            loads = cluster.services[peer]._components.peer_loads
            for _ in range(60):
                await trio.sleep(0.05)
                now_ms = cluster.clock.monotonic_ms()
                found.append(loads.find("exec-0", owner_id=owner, now_ms=now_ms))

        run_scenario(cluster, scenario)
        self.assertNotIn(None, found)


class NewOwnerTest(unittest.TestCase):
    """Executors of a shard that has just been claimed or is handed over."""

    def test_request_right_after_claim_is_served(self):
        # A shard is claimed, and a peer immediately forwards a request for its
        # executor. The owner must not refuse it although its periodic update, every
        # 100 ms, has not added the executor yet.
        cluster = Cluster(instance_count=2, executor_count=1)
        codes = []

        async def scenario():
            shard_id = cluster.find_executor_shard("exec-0")
            old = cluster.owners[shard_id].instance_id
            new = "i1" if old == "i0" else "i0"
            cluster.move_shard(shard_id, new)
            message = ServiceRequest(
                team="sky",
                service="seats",
                key=cluster.generate_key(),
                executor_id="exec-0",
            )
            call = FakeCall(sender_id=old, message=message, timeout_ms=40_000.0)
            answer = await cluster.services[new].handle_inner(call)
            codes.append(answer.result_number)

        run_scenario(cluster, scenario)
        self.assertEqual(codes, [ResultCode.OK.number])

    def test_never_added_executor_is_handed_over_as_idle(self):
        # An instance hands a shard over right after startup, before it has added the
        # shard's executors. The next owner must use them at once instead of waiting for
        # requests that were never sent. It must still wait if a previous owner existed
        # or the executor had been added before.
        for fault in ("none", "earlier owner", "seen before"):
            with self.subTest(fault):
                cluster = Cluster(instance_count=2, executor_count=1)
                handed_over = []

                async def scenario(
                    cluster=cluster, fault=fault, handed_over=handed_over
                ):
                    shard_id = cluster.find_executor_shard("exec-0")
                    name = cluster.owners[shard_id].instance_id
                    service = cluster.services[name]
                    service.pool.remove("exec-0")
                    if fault != "seen before":
                        service._upkeep._added_ids.clear()
                    if fault == "earlier owner":
                        cluster.ownerships[name].since_wall_ms[shard_id] = 1.0
                    handover = service.export_handover(shard_id, 1)
                    handed_over.append([each.executor_id for each in handover.in_use])

                run_scenario(cluster, scenario)
                self.assertEqual(handed_over, [["exec-0"] if fault == "none" else []])


if __name__ == "__main__":
    unittest.main()
