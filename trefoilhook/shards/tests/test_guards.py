"""Guards of ownership that the monitor of who may act can't see."""

import unittest

from trefoilhook.inner.messages_pb2 import ShardHandover
from trefoilhook.shards.core import PreviousOwner, ShardRow
from trefoilhook.shards.tests.cluster import Cluster, run_cluster
from trefoilhook.standins.virtual import VirtualStoreClient


class _SlowAnswers(VirtualStoreClient):
    """A way to the store on which answers take long, after the effect."""

    async def keep_alive(self, lease_id: str) -> int:
        revision = await super().keep_alive(lease_id)
        await self.store.clock.sleep_ms(400)
        return revision


class GuardTest(unittest.TestCase):
    """One instance's own view of its rights."""

    def test_renewal_counts_from_its_sending(self):
        # The store renews a lease at once and its answer takes long. Counted from the
        # answer, the holder would act on when the store has let the lease lapse.
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

    def test_nothing_is_done_for_a_shard_once_it_is_passed_on(self):
        # A leaving owner tells the next one which keys it ran. What it ran after that
        # would be missing, and could be run a second time.
        async def scenario(cluster: Cluster) -> None:
            leaver = cluster.instances["i0"]
            seen: list[int | None] = []

            async def release(shard_id: str, epoch: int) -> ShardHandover:
                seen.append(leaver.ownership.owns(shard_id))
                await cluster.sleep_s(0.05)
                seen.append(leaver.ownership.owns(shard_id))
                return ShardHandover()

            leaver.ownership.add_releaser(release)
            await leaver.membership.announce_leaving()
            await leaver.ownership.release_all()
            self.assertGreater(len(seen), 0)
            self.assertEqual(set(seen), {None})

        run_cluster(scenario, size=3)

    def test_handover_is_taken_in_before_the_first_act(self):
        # A request arrives at the very moment at which a shard changes hands. Judged
        # without what the leaving owner passed on, its caller is told "unknown".
        async def scenario(cluster: Cluster) -> None:
            leaver, receiver = cluster.instances["i0"], cluster.instances["i1"]
            moved = set(leaver.ownership.list_owned())
            seen: dict[str, int | None] = {}

            def take_in(handover: ShardHandover) -> None:
                seen[handover.shard_id] = receiver.ownership.owns(handover.shard_id)

            receiver.ownership.add_receiver(take_in)
            await leaver.membership.announce_leaving()
            await leaver.ownership.release_all()
            await cluster.sleep_s(1)
            self.assertEqual(seen, dict.fromkeys(moved))
            self.assertLessEqual(moved, set(receiver.ownership.list_owned()))

        run_cluster(scenario, size=2)

    def test_only_the_owner_before_is_believed(self):
        # A handover that arrives after yet another owner held the shard lacks what
        # that one did.
        former = PreviousOwner(instance_id="x", host="127.0.0.1", port=9)
        cases = (
            (ShardRow(epoch=4), True),
            (ShardRow(epoch=5), False),
            (ShardRow(epoch=4, unmet=(former,)), False),
        )

        async def scenario(cluster: Cluster) -> None:
            ownership = cluster.instances["i0"].ownership
            for row, is_believed in cases:
                with self.subTest(row=row):
                    handover = ShardHandover(shard_id="req-000", epoch=3)
                    ownership._handovers["req-000"] = handover
                    taken = ownership._take_handover("req-000", row)
                    self.assertEqual(taken is not None, is_believed)

        run_cluster(scenario, size=1)
