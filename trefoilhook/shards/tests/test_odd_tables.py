"""Odd shard tables that another writer leaves in the store."""

import time
import unittest

from trefoilhook.decoding.tests.odd_values import MAX_DECODING_S, build_odd_documents
from trefoilhook.exceptions import DecodeError
from trefoilhook.logs.tests.lines import capture_lines, count_lines
from trefoilhook.shards import decode_table, list_shards
from trefoilhook.shards.core import (
    TABLE_KEY,
    PreviousOwner,
    ShardRow,
    ShardTable,
    encode_table,
)
from trefoilhook.shards.tests.cluster import SHARDS, Cluster, run_cluster

_REVISION = 900
_ROW = ShardRow(
    owner_id="a",
    incarnation="lease",
    epoch=3,
    host="127.0.0.1",
    port=9,
    unmet=(PreviousOwner(instance_id="b", host="127.0.0.1", port=8),),
)
_TABLE = ShardTable(rows={"req-000": _ROW}, revision=_REVISION)


class DecodingTest(unittest.TestCase):
    """Tables with one odd value."""

    def test_stored_table_is_read_back(self):
        value = encode_table(_TABLE, nonce="n")
        self.assertEqual(decode_table(value, revision=_REVISION), _TABLE)

    def test_odd_tables(self):
        # Guards against an odd table that ends every instance with another error than
        # `DecodeError`, or that is partly converted and then in force.
        for name, value in build_odd_documents(encode_table(_TABLE, nonce="n")):
            with self.subTest(name):
                started_s = time.perf_counter()
                try:
                    table = decode_table(value, revision=_REVISION)
                except DecodeError:
                    table = ShardTable()
                self.assertLess(time.perf_counter() - started_s, MAX_DECODING_S)
                for row in table.rows.values():
                    self.assertIs(type(row.epoch), int)
                    self.assertTrue(0 <= row.epoch <= _REVISION)
                    self.assertTrue(0 <= row.port <= 65_535)
                    self.assertIsInstance(row.owner_id, str)
                    self.assertIsInstance(row.unmet, tuple)


class OwnersTest(unittest.TestCase):
    """Instances that read an odd table."""

    def test_owners_outlast_an_odd_table(self):
        # Guards against an odd table that ends every instance at the same time. Owners
        # keep their shards, the table is logged once by each, and a valid one that
        # replaces it is in force again.
        async def scenario(cluster: Cluster) -> None:
            count = len(list_shards(SHARDS))
            await cluster.sleep_s(5)
            valid = cluster.store.state.get(TABLE_KEY).value
            for value in (b"[" * 100_000, b"null", b'{"rows": {"req-000": 1}}'):
                with self.subTest(value[:20]), capture_lines() as lines:
                    cluster.overwrite(TABLE_KEY, value)
                    await cluster.sleep_s(20)
                    self.assertEqual(cluster.count_served(), count)
                    logged = count_lines(lines)["ENTRY_INVALID"]
                    self.assertEqual(logged, len(cluster.instances))
            cluster.overwrite(TABLE_KEY, valid)
            await cluster.sleep_s(5)
            cluster.instances[cluster.find_owners("req-000")[0]].kill()
            await cluster.sleep_s(20)
            self.assertEqual(cluster.count_served(), count)
            self.assertEqual(cluster.overlaps, [])

        run_cluster(scenario, size=4)
