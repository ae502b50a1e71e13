"""End-to-end tests of workers that leave, and of takeovers after it."""

import unittest

import trio

from trefoilhook.logs.tests.lines import capture_lines
from trefoilhook.runtime.tests.cluster import Cluster, run_cluster
from trefoilhook.runtime.tests.test_lease_limits import resign_owner, start_service
from trefoilhook.runtime.tests.test_takeovers import TASKS, count_running, remove_worker

MAX_SETTLING_MS = 1000.0
"""Time from the claim in which a takeover is settled if no worker is awaited, in ms."""


def write_entry(cluster: Cluster, worker_id: str, *, state: str) -> None:
    """Write the entry of a worker."""
    entry = cluster.workers[worker_id].describe("s")
    cluster.store.write(f"servers/{worker_id}", {**entry, "state": state})


def is_idle(cluster: Cluster, worker_id: str) -> bool:
    """Return whether nothing runs on a worker."""
    records = cluster.workers[worker_id].records
    return all(run.ended_ms is not None for run in records)


class DepartureTest(unittest.TestCase):
    """A worker leaves, and the owner is stopped as planned right after it."""

    def find_settling_ms(self, *, state: str) -> float:
        """Return how long the next owner took to settle, in ms."""

        async def scenario(cluster: Cluster) -> None:
            owner = await start_service(cluster)
            write_entry(cluster, "w0", state=state)
            if state == "draining":
                await cluster.wait_until(lambda: is_idle(cluster, "w0"))
            await trio.sleep(0.5)
            await remove_worker(cluster, "w0")
            await trio.sleep(0.3)
            await resign_owner(cluster, owner)
            await cluster.wait_until(
                lambda: (
                    count_running(cluster) == TASKS and len(list_settlings(lines)) > 1
                )
            )
            self.assertEqual(cluster.find_duplicate_runs(), [])

        with capture_lines() as lines:
            run_cluster(scenario, instances=2, workers=3, task_ms=600_000.0)
        return list_settlings(lines)[-1]["after_ms"]

    def test_takeover_does_not_await_a_worker_that_has_left(self):
        # Guards against a planned takeover that holds tasks for a worker which has shut
        # down as planned before it.
        self.assertLess(self.find_settling_ms(state="draining"), MAX_SETTLING_MS)

    def test_takeover_awaits_a_worker_that_vanished(self):
        # Guards against a worker that counts as shut down though it announced nothing.
        self.assertGreater(self.find_settling_ms(state="ready"), MAX_SETTLING_MS)


def list_settlings(lines: list[dict]) -> list[dict]:
    """Return the lines of settled shards."""
    return [line for line in lines if line["event_name"] == "SHARD_SETTLED"]
