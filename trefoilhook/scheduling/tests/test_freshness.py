"""Tests that no task is started by a configuration or by jobs read too long ago."""

import unittest

from trefoilhook.scheduling import Freshness, confirm_start
from trefoilhook.scheduling.tests.cases import Shard, build_job, list_starts

_MAX_AGE_MS = 2000.0


class FreshnessTest(unittest.TestCase):
    """A watch is late while all other calls are answered."""

    def test_nothing_is_started_by_stale_state(self):
        # Guards against running a task on the service of an older configuration, and
        # against starting a task of a cancelled job.
        for name in ("configuration_freshness", "job_freshness"):
            with self.subTest(name):
                shard = Shard()
                freshness = getattr(shard.scheduler, name)
                freshness.max_age_ms = _MAX_AGE_MS
                freshness.note_read(shard.now_ms)
                shard.advance_time(_MAX_AGE_MS + 1.0)
                shard.poll_all()
                shard.submit(build_job())
                self.assertEqual(shard.step(), [])
                freshness.note_read(shard.now_ms)
                self.assertEqual(len(list_starts(shard.step())), 1)

    def test_queued_start_is_withdrawn_once_state_is_stale(self):
        # Guards against sending a start that waited while the configuration aged.
        shard = Shard()
        freshness = shard.scheduler.configuration_freshness
        freshness.max_age_ms = _MAX_AGE_MS
        freshness.note_read(shard.now_ms)
        shard.submit(build_job())
        (start,) = shard.plan()
        shard.advance_time(_MAX_AGE_MS + 1.0)
        self.assertFalse(confirm_start(shard.scheduler, start, shard.now_ms))

    def test_late_answer_confirms_nothing_newer(self):
        # Guards against knowledge that seems to become older.
        freshness = Freshness(max_age_ms=_MAX_AGE_MS)
        self.assertTrue(freshness.is_stale(0.0))
        freshness.note_read(5000.0)
        freshness.note_read(4000.0)
        self.assertFalse(freshness.is_stale(7000.0))
        self.assertTrue(freshness.is_stale(7001.0))
