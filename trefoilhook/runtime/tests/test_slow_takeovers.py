"""Tests of an owner whose link is slow for the number of jobs in the store."""

import unittest

import attrs
import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines
from trefoilhook.runtime import keys
from trefoilhook.runtime.tests.cluster import Cluster, run_cluster
from trefoilhook.scheduling import JobRecord, encode_job_record
from trefoilhook.scheduling.tests.cases import QUEUE, build_job
from trefoilhook.standins.cut import CutSettings

_LINK_BYTES_PER_S = 250_000.0
"""Rate of the instance's link, in bytes per second."""

_JOBS = 500
_SPEC_BYTES = 600
"""Number of jobs, which is that of one page, and size of their specifications, in
bytes. The link carries the page in 2.8 s."""

_LIMIT_S = 10.0
"""Time for the claim and the load, in s: three times that of the transfer."""


def _store_jobs(cluster: Cluster) -> None:
    for number in range(_JOBS):
        job_id = f"{number:016x}"
        job = attrs.evolve(build_job(), job_id=job_id, spec="x" * _SPEC_BYTES)
        record = encode_job_record(JobRecord(job=job, queue=QUEUE))
        cluster.store.write_bytes(keys.job_key(keys.SHARD, job_id), record)


class SlowTakeoverTest(unittest.TestCase):
    """A page of jobs takes longer to receive than the store to answer."""

    def test_shard_is_loaded(self):
        # Guards against a takeover that reads the same page for good.
        async def scenario(cluster: Cluster) -> None:
            _store_jobs(cluster)
            cut = await cluster.start_cut()
            cut.set(CutSettings(answer_bytes_per_s=_LINK_BYTES_PER_S))
            with capture_lines() as lines:
                await cluster.start_instance(store_port=cut.port)
                with trio.move_on_after(_LIMIT_S):
                    await cluster.wait_until(
                        lambda: count_lines(lines)["SHARD_LOADED"] > 0
                    )
                counts = count_lines(lines)
            self.assertEqual((counts["SHARD_CLAIMED"], counts["SHARD_LOADED"]), (1, 1))

        run_cluster(scenario, instances=0, workers=0)


if __name__ == "__main__":
    unittest.main()
