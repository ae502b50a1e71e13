"""Tests that the soak's own components cause no violations."""

import socket
import unittest

import trio

from trefoilhook.clock import build_boottime_clock
from trefoilhook.exceptions import TransportError
from trefoilhook.http import JsonClient
from trefoilhook.soak.fleet import find_free_port
from trefoilhook.standins.platform_worker import PlatformWorker


class PortTest(unittest.TestCase):
    """A restarted instance must find its listening port free.

    An ephemeral port may be assigned to a client's connection while the instance is
    down.
    """

    def test_ports_are_outside_the_ephemeral_range(self):
        ephemeral_ports = []
        for _ in range(20):
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                ephemeral_ports.append(probe.getsockname()[1])
        ports = {find_free_port() for _ in range(200)}
        self.assertLess(max(ports), min(ephemeral_ports))
        self.assertLess(max(ports), 32_768)


class CrashTest(unittest.TestCase):
    """A crashed worker must not record a task start.

    A start request that arrives during the crash would be recorded as a run that never
    ends, and be reported as running concurrently with the task's next attempt.
    """

    def test_crashed_worker_starts_nothing(self):
        trio.run(self._check)

    async def _check(self) -> None:
        worker = PlatformWorker(
            worker_id="w", clock=build_boottime_clock(), task_ms=50.0
        )
        body = {
            "task": "00000000000000a1.0.0.0",
            "attempt": 1,
            "spec": "x",
            "fencing_token": 1,
            "deadline_ms": 1e15,
        }
        async with trio.open_nursery() as nursery:
            await nursery.start(worker.run)
            client = JsonClient(
                address=("127.0.0.1", worker.server.port), max_connections=1
            )
            worker.power_off()
            with self.assertRaises(TransportError):
                await client.send_request(
                    "POST",
                    "/trefoilhook/run-start",
                    timeout_ms=1000.0,
                    body=body,
                    headers=(("expect-instance", "w"),),
                )
            await client.close()
            nursery.cancel_scope.cancel()
        self.assertEqual(worker.records, [])
