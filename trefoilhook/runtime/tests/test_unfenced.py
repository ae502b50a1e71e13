"""Tests of protection from a previous owner's orders without checks of fencing tokens.

After a takeover, the previous owner resumes, or one of its orders arrives late. Workers
that don't check fencing tokens would run tasks twice without other protection.
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
_SUSPENSION_MS = 2200.0
"""Longer than the owner's lease, but too short for workers to seem unresponsive, in
ms."""


async def _call(worker: PlatformWorker, name: str, **body) -> HttpResponse:
    client = JsonClient(address=("127.0.0.1", worker.server.port), max_connections=1)
    try:
        return await client.send_request(
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
    """Workers that accept any token."""

    def test_suspended_owner_sends_no_orders_on_resuming(self):
        # The owner's machine is suspended for longer than its lease. Another owner may
        # have started the tasks that are still queued when it resumes.
        suspended_ms = 0.0

        async def scenario(cluster: Cluster) -> None:
            nonlocal suspended_ms
            worker = await cluster.start_worker("w0", checks_token=False)
            real = cluster.clock
            clock = attrs.evolve(
                real, monotonic_ms=lambda: real.monotonic_ms() + suspended_ms
            )
            first = await cluster.start_instance(clock=clock)
            await cluster.wait_until(lambda: first.process.is_owner)
            await cluster.send(first, "POST", PREFIX + _JOB, build_body())
            await cluster.wait_for_state(first, _JOB, "completed")
            suspended_ms = _SUSPENSION_MS
            job = _JOB.replace("c1", "c2")
            await cluster.send(first, "POST", PREFIX + job, build_body())
            await cluster.wait_for_state(first, job, "completed")
            self.assertEqual([run.token for run in worker.records], [1, 2])

        run_cluster(scenario, instances=0, workers=0)

    def test_late_start_is_refused_by_its_deadline(self):
        # A start takes effect after its deadline, when the task may run elsewhere.
        async def scenario(cluster: Cluster) -> None:
            worker = await cluster.start_worker("w0", checks_token=False)
            answer = await _call(worker, "hold", fencing_token=2, acked=0)
            now_ms = answer.parse_json()["clock_ms"]
            late = await _start(worker, 1_000_001, deadline_ms=now_ms - 1)
            self.assertEqual(late.parse_json()["reason"], "late")
            self.assertEqual(worker.records, [])

        run_cluster(scenario, instances=0, workers=0)

    def test_older_attempt_is_refused_after_end_of_newer_one(self):
        # A start arrives after the next owner's attempt of the task has ended there.
        async def scenario(cluster: Cluster) -> None:
            worker = await cluster.start_worker("w0", checks_token=False)
            await _start(worker, 2_000_001, fencing_token=2)
            await cluster.wait_until(lambda: worker.records[0].ended_ms is not None)
            late = await _start(worker, 1_000_001)
            self.assertEqual(late.parse_json()["reason"], "old")
            self.assertEqual(len(worker.records), 1)

        run_cluster(scenario, instances=0, workers=0, task_ms=30.0)
