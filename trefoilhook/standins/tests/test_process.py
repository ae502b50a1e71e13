"""Tests of stand-ins as separate processes with control requests over HTTP."""

import json
import subprocess
import sys
import unittest

import trio

from trefoilhook.exceptions import NotSentError
from trefoilhook.http import HttpClient, HttpRequest

_START_TIMEOUT_S = 60


class ProcessTest(unittest.TestCase):
    """Reported ports, control requests and faults of each stand-in."""

    def test_standins(self):
        # (kind, settings, path for calls, control requests with their bodies)
        state = {"instance_id": "e1", "state": "leaving"}
        black_hole = {"worker_id": "w1", "is_black_hole": True}
        store = [("GET", "/counts", None), ("POST", "/silence-watches", None)]
        instances = [
            ("GET", "/lists", None),
            ("PUT", "/lists", {"executors": [], "workers": []}),
            ("PUT", "/state", state),
            ("PUT", "/lag", {"lag_ms": 7}),
        ]
        worker = [
            ("GET", "/records", None),
            ("PUT", "/settings", black_hole),
            ("POST", "/lose-memory", None),
        ]
        executor = [
            ("GET", "/records", None),
            ("PUT", "/settings", {"executor_id": "e1", "status": 500}),
        ]
        table = [
            ("store", {}, "/v1/entry?key=a", store),
            ("instances", {"lag_ms": 5}, "/v1/instances", instances),
            ("worker", {"worker_id": "w1"}, "/v1/nothing", worker),
            ("executor", {"executor_id": "e1"}, "/health", executor),
        ]
        for kind, settings, call, control_requests in table:
            with self.subTest(kind=kind):
                command = [sys.executable, "-m", "trefoilhook.standins", kind]
                command += ["--settings", json.dumps(settings)]
                with subprocess.Popen(command, stdout=subprocess.PIPE) as process:
                    try:
                        ports = json.loads(process.stdout.readline())
                        trio.run(self._check, ports, call, control_requests)
                    finally:
                        process.kill()

    async def _check(self, ports, call, table) -> None:
        calls = HttpClient(host="127.0.0.1", port=ports["port"])
        control = HttpClient(host="127.0.0.1", port=ports["control_port"])
        with trio.fail_after(_START_TIMEOUT_S):
            answer = await calls.send(HttpRequest(method="GET", target=call))
            self.assertIn(answer.status, (200, 404, 405))
            for method, path, body in table:
                data = json.dumps(body).encode() if body is not None else b""
                request = HttpRequest(method=method, target=path, body=data)
                self.assertEqual((await control.send(request)).status, 200, msg=path)
            unknown = HttpRequest(method="POST", target="/nothing")
            self.assertEqual((await control.send(unknown)).status, 404)
            await self._set_faults(control, availability="refusing")
            with self.assertRaises(NotSentError):
                await calls.send(HttpRequest(method="GET", target=call))
            await self._set_faults(control, availability="up")
            await calls.send(HttpRequest(method="GET", target=call))

    async def _set_faults(self, control: HttpClient, **faults: object) -> None:
        body = json.dumps(faults).encode()
        request = HttpRequest(method="PUT", target="/faults", body=body)
        self.assertEqual((await control.send(request)).status, 200)

    def test_invalid_settings_are_rejected(self):
        command = [sys.executable, "-m", "trefoilhook.standins", "worker"]
        done = subprocess.run(command, capture_output=True, check=False)
        self.assertEqual(done.returncode, 2)
        self.assertIn(b"worker_id", done.stderr)
