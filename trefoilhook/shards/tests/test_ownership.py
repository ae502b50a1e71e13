"""Ownership under the loss of instances, of the store and of links."""

import unittest

from trefoilhook.shards import list_shards
from trefoilhook.shards.tests.cluster import (
    SETTINGS,
    SHARDS,
    Cluster,
    Instance,
    run_cluster,
)

_ALL = len(list_shards(SHARDS))


def _pick(cluster: Cluster) -> Instance:
    """Return an instance that owns something."""
    owner = cluster.find_owners("req-000")[0]
    return cluster.instances[owner]


class OwnershipTest(unittest.TestCase):
    """Who may act, in each kind of fault."""

    def _check(self, cluster: Cluster) -> None:
        self.assertEqual(cluster.overlaps, [])

    def test_each_shard_has_one_owner(self):
        async def scenario(cluster: Cluster) -> None:
            await cluster.sleep_s(5)
            self.assertEqual(cluster.count_served(), _ALL)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self._check(cluster)

        run_cluster(scenario)

    def test_killed_owner_is_replaced_within_its_lease(self):
        # An owner is killed. Callers of its shards are refused until its store lease
        # lapses and the next owner has claimed them: at most one lease plus a second.
        async def scenario(cluster: Cluster) -> None:
            _pick(cluster).kill()
            await cluster.sleep_s(20)
            self.assertEqual(cluster.count_served(), _ALL)
            limit_ms = SETTINGS.lease_ttl_ms + 1_000
            self.assertLessEqual(cluster.longest_gap_ms, limit_ms)
            self.assertGreater(cluster.longest_gap_ms, 1_000)
            self._check(cluster)

        run_cluster(scenario)

    def test_owner_cut_off_alone_stops_before_its_shards_are_claimed(self):
        # One owner alone loses the store. To it this looks like an outage for all. Its
        # peers refuse to promise, so it stops; were it to go on, it and the claimer
        # would both fill the executors' slots.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick(cluster)
            victim.client.is_cut = True
            await cluster.sleep_s(30)
            self.assertEqual(victim.ownership.list_owned(), ())
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_outage_for_all_stops_nobody(self):
        # The store is down for ten minutes and no instance is lost. Every shard stays
        # served by the same owner at the same epoch, also when the store is back and
        # knows none of the leases any more.
        async def scenario(cluster: Cluster) -> None:
            epochs = cluster.read_epochs()
            cluster.store.is_down = True
            await cluster.sleep_s(600)
            self.assertEqual(cluster.count_served(), _ALL)
            cluster.store.is_down = False
            await cluster.sleep_s(30)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self.assertEqual(cluster.read_epochs(), epochs)
            self._check(cluster)

        run_cluster(scenario)

    def test_process_killed_in_an_outage_stops_only_itself(self):
        # The store is down and one process dies. Its port refuses connections, which
        # proves that it will not claim, so the others need no promise from it.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick(cluster)
            share = len(victim.ownership.list_owned())
            cluster.store.is_down = True
            await cluster.sleep_s(30)
            victim.kill()
            await cluster.sleep_s(300)
            self.assertEqual(cluster.count_served(), _ALL - share)
            cluster.store.is_down = False
            await cluster.sleep_s(30)
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_silent_member_in_an_outage_stops_the_rest(self):
        # The store is down and one machine falls silent. It may have the store and
        # claim everything, so the others, who can't have its promise, must stop.
        async def scenario(cluster: Cluster) -> None:
            cluster.store.is_down = True
            await cluster.sleep_s(30)
            cluster.links.isolate("i3")
            await cluster.sleep_s(10)
            self.assertEqual(cluster.count_served(), 0)
            self._check(cluster)

        run_cluster(scenario)

    def test_only_a_silent_member_has_the_store(self):
        # Eight instances lose the store and their links to the ninth, which still has
        # it, sees eight leases lapse and claims all their shards.
        async def scenario(cluster: Cluster) -> None:
            cluster.links.isolate("i3")
            for instance in cluster.instances.values():
                instance.client.is_cut = instance.instance_id != "i3"
            await cluster.sleep_s(60)
            self.assertEqual(cluster.count_served(), _ALL)
            self.assertEqual(cluster.find_owners("req-000"), ["i3"])
            self._check(cluster)

        run_cluster(scenario)

    def test_promise_after_a_gap_does_not_revive_an_owner(self):
        # An owner loses the store alone and stops; another claims its shards. Then the
        # store is lost to all and everybody promises. The first owner must not take
        # that for a reason to go on: the claimer goes on as well.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick(cluster)
            victim.client.is_cut = True
            await cluster.sleep_s(30)
            cluster.store.is_down = True
            await cluster.sleep_s(60)
            self.assertEqual(victim.ownership.list_owned(), ())
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_newcomer_waits_for_proof_that_the_former_owner_stopped(self):
        # All old instances lose the store and go on upon each other's promises. A new
        # instance joins that they have never read of, and claims their shards. It must
        # not act: nobody it can ask is unpromised.
        async def scenario(cluster: Cluster) -> None:
            for instance in cluster.instances.values():
                instance.client.is_cut = True
            await cluster.sleep_s(30)
            self.assertEqual(cluster.count_served(), _ALL)
            newcomer = cluster.add("j0")
            await cluster.sleep_s(120)
            self.assertEqual(newcomer.ownership.list_owned(), ())
            self.assertEqual(cluster.count_served(), _ALL)
            for instance in cluster.instances.values():
                instance.client.is_cut = False
            await cluster.sleep_s(60)
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_operator_ends_the_wait_for_machines_without_power(self):
        # All old instances lose power at once and answer nothing; new ones take their
        # place elsewhere. To them the old ones may still act behind a broken network,
        # so they wait, until an operator declares each of them gone.
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
            self.assertEqual([n.ownership.list_owned() for n in newcomers], [()] * 3)
            for instance in old:
                await newcomers[0].membership.declare_gone(instance.instance_id)
            await cluster.sleep_s(10)
            served = sum(len(n.ownership.list_owned()) for n in newcomers)
            self.assertEqual(served, _ALL)

        run_cluster(scenario)

    def test_joining_and_leaving_hand_over(self):
        # Instances are replaced all day. One joins and one leaves; each shard that
        # moves has stopped at its old owner before the new one acts, and is back
        # within a second.
        async def scenario(cluster: Cluster) -> None:
            newcomer = cluster.add("j0")
            await cluster.sleep_s(15)
            self.assertGreater(len(newcomer.ownership.list_owned()), 0)
            leaver = _pick(cluster)
            await leaver.membership.announce_leaving()
            await leaver.ownership.release_all()
            await leaver.membership.leave()
            leaver.kill()
            await cluster.sleep_s(15)
            self.assertEqual(cluster.count_served(), _ALL)
            self.assertLessEqual(cluster.longest_gap_ms, 1_000)
            self._check(cluster)

        run_cluster(scenario)

    def test_lost_answer_to_a_claim_is_not_a_lost_race(self):
        # The store takes the claim and its answer gets lost. Taken for a lost race,
        # the shards would wait for a further claim; the nonce read back settles it.
        async def scenario(cluster: Cluster) -> None:
            for instance in cluster.instances.values():
                instance.client.answers_to_lose = 2
            _pick(cluster).kill()
            await cluster.sleep_s(20)
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_restart_under_the_same_id_does_not_take_the_epoch_over(self):
        # An operator gave an instance a fixed id, and it is restarted. The table still
        # names it, but the new process knows none of the keys that ran: at the old
        # epoch it would run a caller's retry a second time.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick(cluster)
            shard_id = victim.ownership.list_owned()[0]
            epoch = victim.ownership.owns(shard_id)
            victim.kill()
            cluster.add(victim.instance_id)
            await cluster.sleep_s(20)
            owner = cluster.instances[cluster.find_owners(shard_id)[0]]
            self.assertGreater(owner.ownership.owns(shard_id), epoch)
            self.assertGreater(owner.ownership.own_since_wall_ms(shard_id), 0)
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)

    def test_two_faults_at_once(self):
        # An owner is killed while the store is down, and when the store is back one
        # of the others can't reach it.
        async def scenario(cluster: Cluster) -> None:
            victim = _pick(cluster)
            cluster.store.is_down = True
            await cluster.sleep_s(20)
            victim.kill()
            await cluster.sleep_s(20)
            other = next(i for i in cluster.instances.values() if i is not victim)
            other.client.is_cut = True
            cluster.store.is_down = False
            await cluster.sleep_s(60)
            self.assertEqual(other.ownership.list_owned(), ())
            self.assertEqual(cluster.count_served(), _ALL)
            self._check(cluster)

        run_cluster(scenario)
