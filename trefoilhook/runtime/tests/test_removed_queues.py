"""End-to-end tests of jobs whose queue leaves the configuration before a takeover."""

import json
import time
import unittest
from typing import Any

import trio

from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime import keys
from trefoilhook.runtime.tests.cluster import (
    HOST,
    PREFIX,
    Cluster,
    build_configuration,
    run_cluster,
)
from trefoilhook.standins import platform_documents

STEPS = "00000000000000e1"
GANG = "00000000000000e2"
OCCURRENCES = "00000000000000e3"
SERVICE = "00000000000000e4"

TASK_MS = 600.0

MAX_WAIT_S = 8.0
"""Time after the takeover in which all tasks must have run, in s. The lease of the
earlier owner takes 2 s to expire, and the second occurrence is due 3 s after the
first."""


def _build_step(count: int = 1, **fields: Any) -> dict[str, Any]:
    return {
        "count": count,
        "cpu": 500,
        "mem_mb": 10,
        "estimate_ms": 600,
        "checkpointing": False,
        **fields,
    }


def _build_jobs() -> dict[str, dict[str, Any]]:
    """Return a job of each kind that still has a task to start after the takeover."""
    return {
        STEPS: {"steps": [_build_step(), _build_step(2, after=[0])]},
        GANG: {"steps": [_build_step(), _build_step(2, after=[0], gang=True)]},
        OCCURRENCES: {
            "steps": [_build_step()],
            "repeat_count": 2,
            "start_at_ms": round(time.time() * 1000),
            "interval_ms": 3000,
        },
        SERVICE: {"steps": [_build_step(long_running=True)]},
    }


def _read_phase(cluster: Cluster, job_id: str) -> str:
    return cluster.store.read(keys.job_key(keys.SHARD, job_id))["phase"]


def _list_service_runs(cluster: Cluster) -> list:
    return [run for run in cluster.list_runs() if run.task.startswith(SERVICE)]


async def _submit_all(cluster: Cluster) -> None:
    """Submit a job of each kind and wait until all of them run."""
    (instance,) = cluster.instances
    jobs = _build_jobs()
    for job_id, fields in jobs.items():
        body = json.dumps({"spec": "x", **fields}).encode()
        answer = await cluster.send(instance, "POST", PREFIX + job_id, body)
        assert answer.status == 200, answer
    await cluster.wait_until(lambda: len(cluster.list_runs()) == len(jobs))


async def _take_over(cluster: Cluster) -> None:
    """Replace the only instance by one that has seen the newest configuration alone."""
    (earlier,) = cluster.instances
    await cluster.start_instance()
    earlier.scope.cancel()
    cluster.instances.remove(earlier)
    await cluster.wait_for_owner()


class RemovedQueueTest(unittest.TestCase):
    """Accepted jobs are completed although their queue is not configured any more."""

    def _check_completed(self, *changes: dict[str, Any]) -> None:
        """Check all jobs after changes of the configuration and a takeover."""

        async def scenario(cluster: Cluster) -> None:
            await _submit_all(cluster)
            for change in changes:
                cluster.store.write("op/config", change)
                await trio.sleep(0.1)
            await _take_over(cluster)
            earlier_runs = len(_list_service_runs(cluster))

            def has_restarted() -> bool:
                return len(_list_service_runs(cluster)) > earlier_runs

            with trio.move_on_after(MAX_WAIT_S):
                await cluster.wait_until(
                    lambda: all(
                        _read_phase(cluster, job_id) == "completed"
                        for job_id in (STEPS, GANG, OCCURRENCES)
                    )
                )
            phases = {job_id: _read_phase(cluster, job_id) for job_id in _build_jobs()}
            expected = dict.fromkeys(phases, "completed") | {SERVICE: "open"}
            self.assertEqual(phases, expected)
            with trio.move_on_after(MAX_WAIT_S):
                await cluster.wait_until(has_restarted)
            self.assertTrue(has_restarted(), "the service was not restarted")
            duplicates = cluster.find_duplicate_runs()
            # The stand-in ends the tasks of a service as done, which then run again.
            self.assertEqual([t for t in duplicates if not t.startswith(SERVICE)], [])

        with capture_lines() as lines:
            run_cluster(scenario, instances=1, task_ms=TASK_MS)
        failures = [line for line in lines if line["event_name"] == "OWNER_FAILED"]
        self.assertEqual(failures, [])

    def test_renamed_queue(self):
        # Guards against jobs that stand still once their queue has another name.
        configuration = build_configuration(2)
        for route in configuration["routes"]:
            route["name"] = "renamed"
        self._check_completed(configuration)

    def test_removed_queue_and_service(self):
        # Guards against jobs that stand still once nothing names their service.
        other = platform_documents.build_configuration(
            2, "/other/", host=HOST, service="t"
        )
        self._check_completed(other)

    def test_changed_and_removed_queue(self):
        # Guards against an owner that knows only the newest of several versions.
        changed = build_configuration(2)
        for route in changed["routes"]:
            route.update(priority=3, stretch=0, target_latency_ms=0)
        other = platform_documents.build_configuration(
            3, "/other/", host=HOST, service="t"
        )
        self._check_completed(changed, other)
