"""Entries of workers with odd values within all bounds, over real sockets."""

import collections
import contextlib
import socket
import unittest
from collections.abc import Iterator
from typing import Any

import trio

from trefoilhook.logs.tests.lines import capture_lines, count_lines
from trefoilhook.runtime.tests.cluster import (
    PREFIX,
    Cluster,
    build_body,
    run_cluster,
)

_JOBS = ("00000000000000a1", "00000000000000a2", "00000000000000a3")
_LARGEST = 2**53 - 1
_HOST_NAME = "nobody.invalid"


class _StuckResolver(trio.abc.HostnameResolver):
    """Name resolution that never ends."""

    def __init__(self) -> None:
        self.lookups: collections.Counter[str] = collections.Counter()

    async def getaddrinfo(self, host: Any, *args: Any, **options: Any) -> Any:
        """Wait forever."""
        self.lookups[str(host)] += 1
        await trio.sleep_forever()

    async def getnameinfo(self, *args: Any, **options: Any) -> Any:
        """Wait forever."""
        await trio.sleep_forever()


@contextlib.contextmanager
def _listen_silently() -> Iterator[int]:
    """Listen on a port without accepting connections; return the port."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(1)
        yield listener.getsockname()[1]


def _build_entries(entry: dict[str, Any], *, silent_port: int) -> list[dict[str, Any]]:
    """Build valid entries of workers that don't exist."""
    absurd = {
        **entry,
        "address": f"127.0.0.1:{silent_port}",
        "capacity": {"cpu": _LARGEST, "mem_mb": _LARGEST, "gpu": _LARGEST},
    }
    addresses = (
        "127.0.0.1:1",
        "0.0.0.0:1",
        "255.255.255.255:80",
        "224.0.0.1:80",
        "[::1]:1",
        "[::]:1",
        "1:1",
        f"{_HOST_NAME}:80",
    )
    return [
        absurd,
        *({**absurd, "address": address} for address in addresses),
        {**absurd, "born": 0},
        {**absurd, "born": _LARGEST},
        {**absurd, "remaining_ms": 1e18, "cold_left_ms": 1e18, "slots": _LARGEST},
        {**absurd, "sequence": _LARGEST, "clock_ms": -(2**63)},
        {**absurd, "labels": [f"l{number}" for number in range(100_000)]},
        {**absurd, "zone": "z" * 1_000_000},
        {**absurd, "capacity": {"cpu": 0, "mem_mb": 0, "gpu": 0}},
    ]


class AbsurdEntriesTest(unittest.TestCase):
    """Workers that can't exist, beside good ones."""

    async def _submit(self, cluster: Cluster, job: str, *counts: int) -> None:
        here = next(each for each in cluster.instances if not each.ended.is_set())
        answer = await cluster.send(here, "POST", PREFIX + job, build_body(*counts))
        self.assertEqual(answer.status, 200)

    def test_absurd_workers_draw_no_work(self):
        # Guards against an entry with 2^53 - 1 cores at an address where nobody answers
        # that draws all tasks, and against look-ups of names that hold up others.
        async def scenario(cluster: Cluster) -> None:
            resolver = _StuckResolver()
            trio.socket.set_custom_hostname_resolver(resolver)
            owner = await cluster.wait_for_owner()
            valid = cluster.workers["w0"].describe("s")
            with _listen_silently() as port, capture_lines() as lines:
                for number, entry in enumerate(_build_entries(valid, silent_port=port)):
                    cluster.store.write(f"servers/x{number}", entry)
                await trio.sleep(0.3)
                await self._submit(cluster, _JOBS[0], 12)
                await cluster.wait_for_state(
                    cluster.instances[0], _JOBS[0], "completed"
                )
                self.assertIs(await cluster.wait_for_owner(), owner)
                await self._submit(cluster, _JOBS[1], 4)
                owner.scope.cancel()
                await owner.ended.wait()
                later = await cluster.wait_for_owner()
                await self._submit(cluster, _JOBS[2], 2)
                for job in _JOBS[1:]:
                    await cluster.wait_for_state(later, job, "completed")
            self.assertEqual(len(cluster.list_runs()), 18)
            self.assertEqual(cluster.find_duplicate_runs(), [])
            self.assertEqual(count_lines(lines)["REPORT_INVALID"], 0)
            self.assertIn(_HOST_NAME, " ".join(resolver.lookups))

        run_cluster(scenario)

    def test_entry_that_changes_all_the_time(self):
        # Guards against an entry that changes some hundred times a second, with another
        # process, address and capacity each time, and holds up the owner's other work.
        async def scenario(cluster: Cluster) -> None:
            owner = await cluster.wait_for_owner()
            valid = cluster.workers["w0"].describe("s")
            writes = 0

            async def write(port: int) -> None:
                nonlocal writes
                while True:
                    writes += 1
                    entry = {
                        **valid,
                        "born": writes,
                        "address": f"127.0.0.1:{port if writes % 2 else 1}",
                        "capacity": {"cpu": writes, "mem_mb": writes, "gpu": 0},
                        "state": "ready" if writes % 3 else "odd",
                    }
                    cluster.store.write("servers/busy", entry)
                    await trio.sleep(0.003)

            with _listen_silently() as port, capture_lines() as lines:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(write, port)
                    await trio.sleep(1.0)
                    for job in _JOBS:
                        await self._submit(cluster, job, 4)
                        await cluster.wait_for_state(owner, job, "completed")
                    await trio.sleep(1.0)
                    nursery.cancel_scope.cancel()
            self.assertGreater(writes, 300)
            self.assertIs(await cluster.wait_for_owner(), owner)
            self.assertEqual(len(cluster.list_runs()), 12)
            self.assertEqual(cluster.find_duplicate_runs(), [])
            self.assertLessEqual(count_lines(lines)["REPORT_INVALID"], 10)

        run_cluster(scenario, instances=1)
