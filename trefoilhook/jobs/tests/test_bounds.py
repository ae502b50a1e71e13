"""Results and checkpoints that exceed the maximum value size of the store."""

import json
import unittest

import trio
import trio.testing

from trefoilhook.clock import build_system_clock
from trefoilhook.jobs import JobRecord, JobState, RecordKind
from trefoilhook.jobs.bounds import MAX_STORED_CHARACTERS, limit_update_size
from trefoilhook.jobs.core import Attempt
from trefoilhook.jobs.messages import TaskRef, TaskStatus, TaskUpdate
from trefoilhook.jobs.tests.shard import Shard, run_shard
from trefoilhook.journal import JournalSettings, open_journal
from trefoilhook.standins.virtual import VirtualStore, VirtualStoreClient

_REF = TaskRef(worker_id="w0", job_id="j", attempt=Attempt(epoch=1, sequence=1))
_LONG = MAX_STORED_CHARACTERS + 1


class BoundsTest(unittest.TestCase):
    """Truncation of worker updates, and their fit into a journal page."""

    def test_bounds(self):
        cases = (
            (TaskStatus.FINISHED, 0, MAX_STORED_CHARACTERS, TaskStatus.FINISHED, True),
            (TaskStatus.FINISHED, 0, _LONG, TaskStatus.FINISHED, False),
            (TaskStatus.EVICTED, MAX_STORED_CHARACTERS, 0, TaskStatus.EVICTED, True),
            (TaskStatus.EVICTED, _LONG, 0, TaskStatus.FAILED, False),
        )
        for status, checkpoint, result, expected, is_same in cases:
            with self.subTest(status=status, checkpoint=checkpoint, result=result):
                update = TaskUpdate(
                    ref=_REF,
                    status=status,
                    checkpoint="x" * checkpoint,
                    result="x" * result,
                )
                bounded = limit_update_size(update)
                self.assertIs(bounded.status, expected)
                self.assertEqual(bounded == update, is_same)
                self.assertLessEqual(len(bounded.result), MAX_STORED_CHARACTERS)
                self.assertLessEqual(len(bounded.checkpoint), MAX_STORED_CHARACTERS)

    def test_the_largest_result_fits_a_page_that_is_almost_full(self):
        async def scenario() -> None:
            clock = build_system_clock()
            journal = open_journal(
                store=VirtualStoreClient(store=VirtualStore(clock=clock)),
                shard_id="wrk-000",
                epoch=1,
                clock=clock,
            )
            await journal.load()
            size = JournalSettings().page_bytes - 1_000
            first = JobRecord(kind=RecordKind.ENDED, job_id="a", result="x" * size)
            await journal.append([first])
            worst = "\N{GRINNING FACE}" * MAX_STORED_CHARACTERS
            worst_record = JobRecord(kind=RecordKind.ENDED, job_id="b", result=worst)
            await journal.append([worst_record])

        trio.run(scenario, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_long_result_ends_its_job_and_no_other(self):
        # A result of several megabytes that is not truncated can never be recorded by
        # any owner, which would block the shard.
        async def scenario(shard: Shard) -> None:
            owner = shard.start_owner("i0")
            payload = json.dumps({"run_ms": 10_000, "result": "x" * 2_000_000})
            await shard.submit(owner, "j1", payload=payload)
            await shard.sleep_s(15)
            job = owner.runner.registry.jobs["j1"]
            self.assertIs(job.state, JobState.ENDED)
            self.assertEqual(len(job.result), MAX_STORED_CHARACTERS)

        run_shard(scenario)
