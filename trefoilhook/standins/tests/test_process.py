"""Each stand-in as a process of its own, and its orders over HTTP."""

import json
import subprocess
import sys
import unittest

import trio

from trefoilhook.exceptions import NotSentError
from trefoilhook.http import HttpClient, HttpRequest

_START_S = 60


class ProcessTest(unittest.TestCase):
    """Ports are told, orders obeyed, faults shown."""

    def test_kinds(self):
        # (kind, settings, a path for calls, a path for orders)
        table = [
            ("store", {}, "/v1/entry?key=a", "/counts"),
            ("instances", {"lag_ms": 5}, "/v1/instances", "/lists"),
            ("worker", {"worker_id": "w1"}, "/v1/nothing", "/records"),
            ("executor", {"executor_id": "e1"}, "/health", "/records"),
        ]
        for kind, settings, call, order in table:
            with self.subTest(kind=kind):
                command = [sys.executable, "-m", "trefoilhook.standins", kind]
                command += ["--settings", json.dumps(settings)]
                with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                    try:
                        ports = json.loads(process.stdout.readline())
                        trio.run(self._check, ports, call, order)
                    finally:
                        process.kill()

    async def _check(self, ports, call, order) -> None:
        calls = HttpClient(host="127.0.0.1", port=ports["port"])
        orders = HttpClient(host="127.0.0.1", port=ports["control_port"])
        with trio.fail_after(_START_S):
            answer = await calls.send(HttpRequest(method="GET", target=call))
            self.assertIn(answer.status, (200, 404, 405))
            answer = await orders.send(HttpRequest(method="GET", target=order))
            self.assertEqual(answer.status, 200)
            await self._set_faults(orders, availability="refusing")
            with self.assertRaises(NotSentError):
                await calls.send(HttpRequest(method="GET", target=call))
            await self._set_faults(orders, availability="up")
            await calls.send(HttpRequest(method="GET", target=call))

    async def _set_faults(self, orders: HttpClient, **faults: object) -> None:
        body = json.dumps(faults).encode()
        request = HttpRequest(method="PUT", target="/faults", body=body)
        self.assertEqual((await orders.send(request)).status, 200)

    def test_wrong_settings_are_refused(self):
        command = [sys.executable, "-m", "trefoilhook.standins", "worker"]
        done = subprocess.run(command, capture_output=True, check=False)
        self.assertEqual(done.returncode, 2)
        self.assertIn(b"worker_id", done.stderr)
