"""Tests of the log lines and metrics of copies."""

import unittest

from trefoilhook.runtime.copies import log_copies
from trefoilhook.runtime.metrics import ProcessMetrics
from trefoilhook.scheduling import EndKind
from trefoilhook.scheduling.tests.cases import Shard
from trefoilhook.scheduling.tests.test_copies import (
    run_until_straggler,
    wait_for_copies,
)


class TestCopyMetrics(unittest.TestCase):
    """Each copy is counted once when it is started and once when it is settled."""

    def test_copy_is_counted_once(self):
        shard = Shard(workers=6)
        metrics = ProcessMetrics()
        run_until_straggler(shard)
        (copy,) = wait_for_copies(shard)
        shard.end(copy, EndKind.DONE)
        for _ in range(2):
            log_copies(shard.scheduler, metrics)
        self.assertEqual(
            dict(metrics.counters),
            {("copies", "started"): 1, ("copies", "copy first"): 1},
        )
        self.assertGreater(metrics.histograms["copy_wasted_ms"].sum_ms, 0.0)
