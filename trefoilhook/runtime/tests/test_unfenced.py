"""What holds an earlier owner's orders off where workers don't check fencing tokens.

An owner freezes, another takes over, and the first wakes up or an order of its comes
late. Were tokens all that kept them apart, tasks would run twice on such workers.
"""

import unittest

import attrs

from trefoilhook.http import HttpResponse, JsonClient
from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    build_body,
    run_cluster,
)
from trefoilhook.standins.platform_worker import PlatformWorker

_JOB = "00000000000000c1"
_TASK = _JOB + ".0.0.0"
_FREEZE_MS = 2200.0
"""Longer than the lease of an owner, and short of what makes workers seem silent."""


async def _call(worker: PlatformWorker, name: str, **body) -> HttpResponse:
    client = JsonClient(address=("127.0.0.1", worker.server.port), max_connections=1)
    try:
        return await client.exchange(
            "POST",
            f"/trefoilhook/{name}",
            timeout_ms=2000.0,
            body=body,
            headers=(("expect-instance", worker.worker_id),),
        )
    finally:
        await client.close()


async def _start(worker: PlatformWorker, attempt: int, **fields) -> HttpResponse:
    body = {
        "task": _TASK,
        "attempt": attempt,
        "spec": "x",
        "fencing_token": 1,
        "deadline_ms": 1e15,
        **fields,
    }
    return await _call(worker, "run-start", **body)


class UnfencedTest(unittest.TestCase):
    """Workers that take any token."""

    def test_frozen_owner_orders_nothing_on_waking(self):
        # Its machine freezes for longer than its lease. What waits on waking may have
        # been started by another owner meanwhile, on workers that would start it again.
        frozen_ms = 0.0

        async def scenario(cluster: Cluster) -> None:
            nonlocal frozen_ms
            worker = await cluster.start_worker("w0", checks_token=False)
            real = cluster.clock
            clock = attrs.evolve(
                real, monotonic_ms=lambda: real.monotonic_ms() + frozen_ms
            )
            first = await cluster.start_instance(clock=clock)
            await cluster.wait_until(lambda: first.process.is_owner)
            await cluster.send(first, "POST", PREFIX + _JOB, build_body())
            await cluster.wait_for_state(first, _JOB, "completed")
            frozen_ms = _FREEZE_MS
            job = _JOB.replace("c1", "c2")
            await cluster.send(first, "POST", PREFIX + job, build_body())
            await cluster.wait_for_state(first, job, "completed")
            self.assertEqual([run.token for run in worker.records], [1, 2])

        run_cluster(scenario, instances=0, workers=0)

    def test_late_start_is_refused_by_its_deadline(self):
        # A start is carried out seconds after it was sent, when it may run elsewhere.
        async def scenario(cluster: Cluster) -> None:
            worker = await cluster.start_worker("w0", checks_token=False)
            answer = await _call(worker, "hold", fencing_token=2, acked=0)
            now_ms = answer.parse_json()["clock_ms"]
            late = await _start(worker, 1_000_001, deadline_ms=now_ms - 1)
            self.assertEqual(late.parse_json()["reason"], "late")
            self.assertEqual(worker.records, [])

        run_cluster(scenario, instances=0, workers=0)

    def test_earlier_attempt_is_refused_where_a_later_one_ended(self):
        # The next owner's attempt of the task has ended there before it comes.
        async def scenario(cluster: Cluster) -> None:
            worker = await cluster.start_worker("w0", checks_token=False)
            await _start(worker, 2_000_001, fencing_token=2)
            await cluster.wait_until(lambda: worker.records[0].ended_ms is not None)
            late = await _start(worker, 1_000_001)
            self.assertEqual(late.parse_json()["reason"], "old")
            self.assertEqual(len(worker.records), 1)

        run_cluster(scenario, instances=0, workers=0, task_ms=30.0)
