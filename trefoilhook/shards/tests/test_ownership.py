"""Shard ownership when instances, the store or links fail."""

import unittest

from trefoilhook.shards import list_shards
from trefoilhook.shards.tests.cluster import (
    SETTINGS,
    SHARDS,
    Cluster,
    Instance,
    run_cluster,
)

_SHARD_COUNT = len(list_shards(SHARDS))


def _pick_owner(cluster: Cluster) -> Instance:
    """Return an instance that owns a shard."""
    owner = cluster.find_owners("req-000")[0]
    return cluster.instances[owner]


class OwnershipTest(unittest.TestCase):
    """Which instances may serve the shards in each kind of fault."""

    def _assert_no_overlap(self, cluster: Cluster) -> None:
        self.assertEqual(cluster.overlaps, [])

    def test_each_shard_has_one_owner(self):
        async def scenario(cluster: Cluster) -> None:
            await cluster.sleep_s(5)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_killed_owner_is_replaced_within_its_lease(self):
        # After an owner is killed, calls to its shards are refused until its lease has
        # expired and a new owner has claimed them: at most one lease plus a second.
        async def scenario(cluster: Cluster) -> None:
            _pick_owner(cluster).kill()
            await cluster.sleep_s(20)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            limit_ms = SETTINGS.lease_ttl_ms + 1_000
            self.assertLessEqual(cluster.longest_gap_ms, limit_ms)
            self.assertGreater(cluster.longest_gap_ms, 1_000)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_owner_cut_off_alone_stops_before_its_shards_are_claimed(self):
        # A single owner loses the store and cannot tell this from a global outage. Its
        # peers refuse their promises, so it stops. If it continued, it and the claimant
        # would both fill the executors' slots.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick_owner(cluster)
            victim.client.is_cut = True
            await cluster.sleep_s(30)
            self.assertEqual(victim.ownership.list_served(), ())
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_global_outage_stops_no_owner(self):
        # The store is down for ten minutes and no instance is lost. Every shard must be
        # served by the same owner at the same epoch throughout, also after the store
        # has recovered with all leases expired.
        async def scenario(cluster: Cluster) -> None:
            epochs = cluster.read_epochs()
            cluster.store.is_down = True
            await cluster.sleep_s(600)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            cluster.store.is_down = False
            await cluster.sleep_s(30)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self.assertEqual(cluster.read_epochs(), epochs)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_process_killed_during_outage_stops_no_other_owner(self):
        # One process dies while the store is down. Its port refuses connections, which
        # proves that it cannot claim, so the others need no promise from it.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick_owner(cluster)
            share = len(victim.ownership.list_served())
            cluster.store.is_down = True
            await cluster.sleep_s(30)
            victim.kill()
            await cluster.sleep_s(300)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT - share)
            cluster.store.is_down = False
            await cluster.sleep_s(30)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_silent_member_during_outage_stops_all_other_owners(self):
        # One machine becomes unreachable while the store is down. It might reach the
        # store and claim all shards, so the others must stop without its promise.
        async def scenario(cluster: Cluster) -> None:
            cluster.store.is_down = True
            await cluster.sleep_s(30)
            cluster.links.isolate("i3")
            await cluster.sleep_s(10)
            self.assertEqual(cluster.count_served(), 0)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_only_unreachable_member_has_the_store(self):
        # Eight instances lose the store and their links to the ninth. The ninth still
        # reaches the store, where the eight leases expire, and claims all shards.
        async def scenario(cluster: Cluster) -> None:
            cluster.links.isolate("i3")
            for instance in cluster.instances.values():
                instance.client.is_cut = instance.instance_id != "i3"
            await cluster.sleep_s(60)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self.assertEqual(cluster.find_owners("req-000"), ["i3"])
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_promise_after_gap_does_not_reactivate_owner(self):
        # A single owner loses the store and stops; another instance claims its shards.
        # Then all lose the store and give promises. The first owner must not resume on
        # these promises, as the claimant continues to serve the shards.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick_owner(cluster)
            victim.client.is_cut = True
            await cluster.sleep_s(30)
            cluster.store.is_down = True
            await cluster.sleep_s(60)
            self.assertEqual(victim.ownership.list_served(), ())
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_new_member_waits_for_proof_that_previous_owner_stopped(self):
        # All instances lose the store and continue on each other's promises. A new
        # instance, whose member record they have not read, joins and claims their
        # shards. It must not serve them: no member can attest that they have stopped.
        async def scenario(cluster: Cluster) -> None:
            for instance in cluster.instances.values():
                instance.client.is_cut = True
            await cluster.sleep_s(30)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            newcomer = cluster.add("j0")
            await cluster.sleep_s(120)
            self.assertEqual(newcomer.ownership.list_served(), ())
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            for instance in cluster.instances.values():
                instance.client.is_cut = False
            await cluster.sleep_s(60)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_declaring_instances_gone_ends_the_wait(self):
        # All instances lose power at once and new ones replace them. The new ones
        # cannot tell this from a network failure behind which the old ones still serve,
        # so they wait until an operator declares each old instance gone.
        async def scenario(cluster: Cluster) -> None:
            old = list(cluster.instances.values())
            for instance in old:
                cluster.links.isolate(instance.instance_id)
                instance.scope.cancel()
            newcomers = [cluster.add(f"j{number}") for number in range(3)]
            for instance in old:
                for newcomer in newcomers:
                    cluster.links.cut(instance.instance_id, newcomer.instance_id)
            await cluster.sleep_s(60)
            self.assertEqual([n.ownership.list_served() for n in newcomers], [()] * 3)
            for instance in old:
                await newcomers[0].membership.declare_gone(instance.instance_id)
            await cluster.sleep_s(10)
            served = sum(len(n.ownership.list_served()) for n in newcomers)
            self.assertEqual(served, _SHARD_COUNT)

        run_cluster(scenario)

    def test_joining_and_leaving_hand_over_shards(self):
        # One instance joins and another leaves. The old owner of each moved shard must
        # stop before the new owner serves it, and the gap is at most one second.
        async def scenario(cluster: Cluster) -> None:
            newcomer = cluster.add("j0")
            await cluster.sleep_s(15)
            self.assertGreater(len(newcomer.ownership.list_served()), 0)
            leaver = _pick_owner(cluster)
            await leaver.membership.announce_leaving()
            await leaver.ownership.wait_released()
            await leaver.membership.leave()
            leaver.kill()
            await cluster.sleep_s(15)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self.assertLessEqual(cluster.longest_gap_ms, 1_000)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_lost_answer_to_claim_is_not_a_conflict(self):
        # The store applies a claim but its answer is lost. If this were taken for a
        # conflict, the shards would wait for another claim; reading the nonce back
        # shows that the claim succeeded.
        async def scenario(cluster: Cluster) -> None:
            for instance in cluster.instances.values():
                instance.client.responses_to_drop = 2
            _pick_owner(cluster).kill()
            await cluster.sleep_s(20)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_restart_with_same_id_gets_new_epoch(self):
        # An instance with a fixed id is restarted. The table still names it as owner,
        # but the new process does not know which keys ran: at the old epoch it would
        # run a caller's retry a second time.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick_owner(cluster)
            shard_id = victim.ownership.list_served()[0]
            epoch = victim.ownership.get_serving_epoch(shard_id)
            victim.kill()
            cluster.add(victim.instance_id)
            await cluster.sleep_s(20)
            owner = cluster.instances[cluster.find_owners(shard_id)[0]]
            self.assertGreater(owner.ownership.get_serving_epoch(shard_id), epoch)
            self.assertGreater(owner.ownership.serving_since_wall_ms(shard_id), 0)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)

    def test_owner_killed_in_outage_and_another_cut_off(self):
        # An owner is killed while the store is down, and another instance cannot reach
        # the store after it has recovered.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick_owner(cluster)
            cluster.store.is_down = True
            await cluster.sleep_s(20)
            victim.kill()
            await cluster.sleep_s(20)
            other = next(i for i in cluster.instances.values() if i is not victim)
            other.client.is_cut = True
            cluster.store.is_down = False
            await cluster.sleep_s(60)
            self.assertEqual(other.ownership.list_served(), ())
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self._assert_no_overlap(cluster)

        run_cluster(scenario)
