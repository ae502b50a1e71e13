"""Guards of ownership whose failure the cluster's overlap check does not detect."""

import unittest

from trefoilhook.inner.messages_pb2 import ShardHandover
from trefoilhook.shards.core import PreviousOwner, ShardRow
from trefoilhook.shards.tests.cluster import Cluster, run_cluster
from trefoilhook.standins.virtual import VirtualStoreClient


class _SlowAnswers(VirtualStoreClient):
    """A store client whose keep-alive answers are delayed after they took effect."""

    async def keep_alive(self, lease_id: str) -> int:
        revision = await super().keep_alive(lease_id)
        await self.store.clock.sleep_ms(400)
        return revision


class GuardTest(unittest.TestCase):
    """Lease, release and handover guards of single instances."""

    def test_lease_renewal_counts_from_send_time(self):
        # The store renews a lease at once but its answer is delayed. If the lease were
        # counted from the answer, its holder would serve on after it has expired.
        async def scenario(cluster: Cluster) -> None:
            instance = cluster.instances["i0"]
            slow = _SlowAnswers(store=cluster.store)
            instance.membership._store = slow
            await cluster.sleep_s(8)
            slow.is_cut = True
            lease_id = instance.membership.member.incarnation
            expires_at_ms = cluster.store.state._leases[lease_id].expires_at_ms
            while instance.membership.is_lease_held():
                await cluster.sleep_s(0.01)
            self.assertLessEqual(cluster.clock.monotonic_ms(), expires_at_ms)

        run_cluster(scenario, size=1)

    def test_shard_is_not_served_during_release(self):
        # A leaving owner reports to the new owner which keys it ran. A request run
        # after that report would be missing from it and could run a second time.
        async def scenario(cluster: Cluster) -> None:
            leaver = cluster.instances["i0"]
            seen: list[int | None] = []

            async def release(shard_id: str, epoch: int) -> ShardHandover:
                seen.append(leaver.ownership.get_serving_epoch(shard_id))
                await cluster.sleep_s(0.05)
                seen.append(leaver.ownership.get_serving_epoch(shard_id))
                return ShardHandover()

            leaver.ownership.add_release_hook(release)
            await leaver.membership.announce_leaving()
            await leaver.ownership.wait_released()
            self.assertGreater(len(seen), 0)
            self.assertEqual(set(seen), {None})

        run_cluster(scenario, size=3)

    def test_handover_is_applied_before_shard_is_served(self):
        # A request arrives just when the new owner begins to serve a shard. Decided
        # without the handover message, the request would be answered "unknown".
        async def scenario(cluster: Cluster) -> None:
            leaver, receiver = cluster.instances["i0"], cluster.instances["i1"]
            moved = set(leaver.ownership.list_served())
            seen: dict[str, int | None] = {}

            def record_epoch(handover: ShardHandover) -> None:
                seen[handover.shard_id] = receiver.ownership.get_serving_epoch(
                    handover.shard_id
                )

            receiver.ownership.add_handover_handler(record_epoch)
            await leaver.membership.announce_leaving()
            await leaver.ownership.wait_released()
            await cluster.sleep_s(1)
            self.assertEqual(seen, dict.fromkeys(moved))
            self.assertLessEqual(moved, set(receiver.ownership.list_served()))

        run_cluster(scenario, size=2)

    def test_only_handover_from_preceding_epoch_is_accepted(self):
        # A handover message that arrives after another owner has held the shard lacks
        # the requests that the other owner ran.
        previous = PreviousOwner(instance_id="x", host="127.0.0.1", port=9)
        cases = (
            (ShardRow(epoch=4), True),
            (ShardRow(epoch=5), False),
            (ShardRow(epoch=4, unmet=(previous,)), False),
        )

        async def scenario(cluster: Cluster) -> None:
            ownership = cluster.instances["i0"].ownership
            for row, is_accepted in cases:
                with self.subTest(row=row):
                    handover = ShardHandover(shard_id="req-000", epoch=3)
                    ownership._received_handovers["req-000"] = handover
                    taken = ownership._pop_handover("req-000", row)
                    self.assertEqual(taken is not None, is_accepted)

        run_cluster(scenario, size=1)
