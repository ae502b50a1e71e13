"""Store changes reach the mirrors of all instances, even when a watch is silent."""

import unittest

from trefoilhook.shards import list_shards
from trefoilhook.shards.tests.cluster import SHARDS, Cluster, run_cluster

_KEY = "root/config/teams/carrowmore"
_SHARD_COUNT = len(list_shards(SHARDS))


async def _write_key(cluster: Cluster, value: bytes) -> int:
    client = next(iter(cluster.instances.values())).client
    current = await client.get(_KEY)
    expected = current.revision if current else 0
    return await client.swap(_KEY, value, expected_revision=expected)


def _list_outdated(cluster: Cluster, revision: int) -> list[str]:
    """Return the instances whose mirror does not have the key at the revision."""
    behind = []
    for instance in cluster.instances.values():
        entry = instance.membership.follower.mirror.get(_KEY)
        if entry is None or entry.revision != revision:
            behind.append(instance.instance_id)
    return behind


class MirrorsTest(unittest.TestCase):
    """Mirrors of several instances that use one store."""

    def test_pull_from_peer_compensates_silent_watch(self):
        # The watch of one instance delivers nothing any more. Heartbeats show that its
        # peers are ahead, so it pulls the changes before the watch call times out.
        async def scenario(cluster: Cluster) -> None:
            for number in range(5):
                victim = cluster.instances["i3"]
                victim.client.is_watch_silent = True
                revision = await _write_key(cluster, b"%d" % number)
                await cluster.sleep_s(1.5)
                self.assertEqual(_list_outdated(cluster, revision), [])
            self.assertEqual(cluster.overlaps, [])

        run_cluster(scenario, size=5)

    def test_silent_watch_of_isolated_instance_is_replaced(self):
        # The instance also has no link to its peers. The watch call times out and the
        # next one uses a new connection.
        async def scenario(cluster: Cluster) -> None:
            victim = cluster.instances["i3"]
            cluster.links.isolate("i3")
            victim.client.is_watch_silent = True
            revision = await _write_key(cluster, b"new")
            await cluster.sleep_s(0.2)
            victim.client.is_watch_silent = False
            await cluster.sleep_s(3.8)
            self.assertEqual(_list_outdated(cluster, revision), [])

        run_cluster(scenario, size=5)

    def test_partition_between_two_instances_moves_nothing(self):
        # Two instances cannot reach each other, but both reach the store and all other
        # instances. Silence does not prove death, so neither may claim from the other.
        async def scenario(cluster: Cluster) -> None:
            epochs = cluster.read_epochs()
            cluster.links.cut("i0", "i1")
            await cluster.sleep_s(60)
            self.assertEqual(cluster.read_epochs(), epochs)
            cluster.links.heal()
            await cluster.sleep_s(15)
            self.assertEqual(cluster.read_epochs(), epochs)
            self.assertEqual(cluster.count_served(), _SHARD_COUNT)
            self.assertEqual(cluster.longest_gap_ms, 0.0)
            self.assertEqual(cluster.overlaps, [])

        run_cluster(scenario, size=5)
