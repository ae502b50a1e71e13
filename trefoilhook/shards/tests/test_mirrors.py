"""What stands in the store is in force everywhere, also with a watch silent."""

import unittest

from trefoilhook.shards import list_shards
from trefoilhook.shards.tests.cluster import SHARDS, Cluster, run_cluster

_KEY = "root/config/teams/carrowmore"
_ALL = len(list_shards(SHARDS))


async def _write(cluster: Cluster, value: bytes) -> int:
    client = next(iter(cluster.instances.values())).client
    current = await client.get(_KEY)
    expected = current.revision if current else 0
    return await client.swap(_KEY, value, expected_revision=expected)


def _list_behind(cluster: Cluster, revision: int) -> list[str]:
    """Return the instances whose mirror does not have the key at the revision."""
    behind = []
    for instance in cluster.instances.values():
        entry = instance.membership.follower.mirror.get(_KEY)
        if entry is None or entry.revision != revision:
            behind.append(instance.instance_id)
    return behind


class MirrorsTest(unittest.TestCase):
    """Mirrors of several instances on one store."""

    def test_silent_watch_is_made_up_for_by_a_peer(self):
        # One instance's watch goes silent for good. It hears from its peers that they
        # are ahead and pulls the change, long before the watch could be replaced.
        async def scenario(cluster: Cluster) -> None:
            for number in range(5):
                victim = cluster.instances["i3"]
                victim.client.is_watch_silent = True
                revision = await _write(cluster, b"%d" % number)
                await cluster.sleep_s(1.5)
                self.assertEqual(_list_behind(cluster, revision), [])
            self.assertEqual(cluster.overlaps, [])

        run_cluster(scenario, size=5)

    def test_silent_watch_of_one_alone_is_replaced(self):
        # The same with no link to any peer: the watch call has an end, and the next
        # one takes another connection.
        async def scenario(cluster: Cluster) -> None:
            victim = cluster.instances["i3"]
            cluster.links.isolate("i3")
            victim.client.is_watch_silent = True
            revision = await _write(cluster, b"new")
            await cluster.sleep_s(0.2)
            victim.client.is_watch_silent = False
            await cluster.sleep_s(3.8)
            self.assertEqual(_list_behind(cluster, revision), [])

        run_cluster(scenario, size=5)

    def test_partition_between_two_instances_moves_nothing(self):
        # Two instances don't reach each other, and both reach the store and the rest.
        # Neither takes the other for dead: silence is no proof.
        async def scenario(cluster: Cluster) -> None:
            epochs = cluster.read_epochs()
            cluster.links.cut("i0", "i1")
            await cluster.sleep_s(60)
            self.assertEqual(cluster.read_epochs(), epochs)
            cluster.links.heal()
            await cluster.sleep_s(15)
            self.assertEqual(cluster.read_epochs(), epochs)
            self.assertEqual(cluster.count_served(), _ALL)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self.assertEqual(cluster.overlaps, [])

        run_cluster(scenario, size=5)
