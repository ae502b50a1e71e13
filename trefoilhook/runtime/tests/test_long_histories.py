"""Tests of an instance that has missed more changes than one answer can hold."""

import unittest

import attrs

from trefoilhook.runtime.tests.cluster import (
    BOUNDS,
    PREFIX,
    Cluster,
    build_configuration,
    run_cluster,
)
from trefoilhook.standins.cut import CutSettings, Partition

_BOUNDS = attrs.evolve(BOUNDS, configuration_ms=3000.0)
_NEW_PREFIX = "/added/"

_VERSIONS = 8
_CONFIGURATION_BYTES = 900_000
"""Size of each version, in bytes. A watch after the first one is answered with 9.6 MB,
which is over the limit of 8 MB for a response."""


class LongHistoryTest(unittest.TestCase):
    """Many large configurations while the instance was cut off."""

    def test_instance_is_up_to_date_after_many_large_changes(self):
        # Guards against an instance that never gets another configuration, as it asks
        # for all versions that it has missed and gives the answer up.
        async def scenario(cluster: Cluster) -> None:
            cut = await cluster.start_cut()
            instance = await cluster.start_instance(bounds=_BOUNDS, store_port=cut.port)
            cut.set(CutSettings(partition=Partition.SILENT))
            await cluster.clock.sleep_ms(300.0)
            for number in range(_VERSIONS):
                document = build_configuration(2 + number, PREFIX, _NEW_PREFIX)
                document["limits"] = {"note": "x" * _CONFIGURATION_BYTES}
                cluster.store.write("op/config", document)
            await cluster.clock.sleep_ms(1500.0)
            cut.set(CutSettings())
            await cluster.clock.sleep_ms(_BOUNDS.configuration_ms)
            answer = await cluster.send(instance, "GET", _NEW_PREFIX)
            self.assertEqual(answer.status, 200)

        run_cluster(scenario, instances=0, workers=0)


if __name__ == "__main__":
    unittest.main()
