"""Tests of the preference for large instances as owners."""

import unittest

import trio

from trefoilhook.platform import InstanceSize
from trefoilhook.runtime.fitness import compute_claim_delay, compute_fitness
from trefoilhook.runtime.tests.cluster import Cluster, Instance, run_cluster

LARGE = InstanceSize(cores=2.15, link_mbps=200.0)
SMALL = InstanceSize(cores=0.5, link_mbps=10.0)


class FitnessTest(unittest.TestCase):
    """Fitness of instances, and the claim delay of less fit ones."""

    def test_scarcest_resource_decides(self):
        table = (
            ("all that an owner needs", LARGE, 1.0),
            ("half of the processor", InstanceSize(cores=0.8, link_mbps=200.0), 0.5),
            ("half of the link", InstanceSize(cores=4.0, link_mbps=10.0), 0.5),
        )
        for name, size, expected in table:
            with self.subTest(name):
                self.assertAlmostEqual(compute_fitness(size), expected)

    def test_only_less_fit_instances_wait(self):
        table = (
            (1.0, 1.0, False),
            (0.3, 1.0, True),
            (0.3, 0.3, False),
            (1.0, 0.3, False),
        )
        for fitness, best, waits in table:
            with self.subTest(fitness=fitness, best=best):
                self.assertEqual(compute_claim_delay(fitness, best) > 0, waits)


class OwnershipTest(unittest.TestCase):
    """A small instance owns the shard only if there is no larger one.

    Guards against an undersized owner: with half a core and 10 Mbit/s, an owner of 246
    workers missed the answers of healthy ones for 5 s after a burst of a few hundred
    tasks, while four instances of four times its size were idle.
    """

    def test_shard_goes_to_a_large_instance_while_there_is_one(self):
        async def scenario(cluster: Cluster) -> None:
            first = await cluster.start_instance(size=LARGE)
            await cluster.wait_for_owner()
            for _ in range(4):
                await cluster.start_instance(size=SMALL)
            second = await cluster.start_instance(size=LARGE)
            first.scope.cancel()
            await cluster.wait_until(lambda: not first.process.is_owner)
            self.assertIs(await cluster.wait_for_owner(), second)
            second.scope.cancel()
            await cluster.wait_until(lambda: not second.process.is_owner)
            self.assertIn(await cluster.wait_for_owner(), cluster.instances[1:5])

        run_cluster(scenario, instances=0)

    def test_first_owner_is_large_if_configuration_comes_late(self):
        # Guards against a delay in favour of larger instances that is over before any
        # instance has a configuration and may claim.
        async def scenario(cluster: Cluster) -> None:
            configuration = cluster.store.read("op/config")
            cluster.store.remove("op/config")
            started: dict[InstanceSize, Instance] = {}

            async def start(size: InstanceSize) -> None:
                started[size] = await cluster.start_instance(size=size)

            async with trio.open_nursery() as nursery:
                for size in (SMALL, LARGE):
                    nursery.start_soon(start, size)
                    await trio.sleep(0.4)
                cluster.store.write("op/config", configuration)
            self.assertIs(await cluster.wait_for_owner(), started[LARGE])

        run_cluster(scenario, instances=0)

    def test_first_owner_is_a_large_instance(self):
        async def scenario(cluster: Cluster) -> None:
            small = await cluster.start_instance(size=SMALL)
            large = await cluster.start_instance(size=LARGE)
            self.assertIs(await cluster.wait_for_owner(), large)
            self.assertFalse(small.process.is_owner)

        run_cluster(scenario, instances=0)
