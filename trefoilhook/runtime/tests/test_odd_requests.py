"""Tests of odd requests against a process in a subprocess."""

import json
import os
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from trefoilhook.platform import READINESS_PATH, SETTINGS_VARIABLE
from trefoilhook.runtime.core import METRICS_PATH
from trefoilhook.standins import platform_documents

_HOST = "127.0.0.1"
_TIMEOUT_S = 30.0


def _reserve_port() -> socket.socket:
    """Bind a free port; SO_REUSEADDR lets a process listen on it nonetheless."""
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((_HOST, 0))
    return reservation


def exchange(port: int, data: bytes) -> bytes:
    """Send ``data`` on a new connection and return all that is received."""
    with socket.create_connection((_HOST, port), timeout=_TIMEOUT_S) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65_536):
            received += chunk
        return received


class OddRequestTest(unittest.TestCase):
    """The process keeps serving after any request."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        ports = [_reserve_port() for _ in range(3)]
        for reservation in ports:
            self.addCleanup(reservation.close)
        entry, readiness, metrics = (each.getsockname()[1] for each in ports)
        settings = platform_documents.build_settings(
            name="i0", port=entry, readiness_port=readiness, store_port=1
        )
        path = Path(folder.name) / "node.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        self.process = subprocess.Popen(
            [sys.executable, "-m", "trefoilhook", "--metrics-port", str(metrics)],
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.kill)
        for line in self.process.stdout:
            if json.loads(line)["event_name"] == "STARTED":
                break
        self.targets = (
            (metrics, METRICS_PATH),
            (readiness, READINESS_PATH),
            (entry, "/none/0"),
        )

    def test_head_is_answered_without_content(self):
        for port, path in self.targets:
            with self.subTest(path=path):
                request = f"{path} HTTP/1.1\r\nhost: a\r\n\r\n".encode()
                head = exchange(port, b"HEAD " + request)
                get = exchange(port, b"GET " + request)
                self.assertEqual(head.partition(b"\r\n")[0], get.partition(b"\r\n")[0])
                self.assertTrue(head.endswith(b"\r\n\r\n"), head)

    def test_odd_requests_leave_the_process_serving(self):
        # Guards against a request that ends the process and all its other requests.
        for port, path in self.targets:
            for line in (f"HEAD {path}", "GET //[", "CONNECT a:1"):
                with self.subTest(path=path, line=line):
                    exchange(port, f"{line} HTTP/1.1\r\nhost: a\r\n\r\n".encode())
                    request = f"GET {path} HTTP/1.1\r\nhost: a\r\n\r\n"
                    received = exchange(port, request.encode())
                    self.assertTrue(received.startswith(b"HTTP/1.1 "), received)
                    self.assertIsNone(self.process.poll())
