"""Tests of the program in a subprocess: settings, signals and exit codes."""

import contextlib
import gc
import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from trefoilhook.exceptions import SettingsError
from trefoilhook.platform import SETTINGS_VARIABLE, parse_settings
from trefoilhook.runtime.__main__ import configure_garbage_collector
from trefoilhook.standins import platform_documents

_BOUNDS = {
    "grace_s": 6,
    "max_hold_ms": 6000,
    "stop_grace_ms": 200,
}
_TIMEOUT_S = 30.0


def build_settings(**fields) -> dict:
    """Build a settings file with an unreachable store."""
    return platform_documents.build_settings(
        name="i0", port=0, readiness_port=0, store_port=1, **fields
    )


class ProgramTest(unittest.TestCase):
    """Start, reload and stop of a process."""

    def setUp(self) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.addCleanup(self._folder.cleanup)
        self.path = Path(self._folder.name) / "node.json"
        self.path.write_text(json.dumps(build_settings()), encoding="utf-8")

    def _start(self) -> subprocess.Popen:
        process = subprocess.Popen(
            [sys.executable, "-m", "trefoilhook"],
            env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        return process

    def _read_until(self, process: subprocess.Popen, name: str) -> None:
        for line in process.stdout:
            if json.loads(line)["event_name"] == name:
                return
        self.fail(f"no line {name}")

    def test_reload_and_graceful_stop(self):
        # The platform sends SIGHUP after changing the settings. An unhandled SIGHUP
        # would end the process with all requests in progress.
        process = self._start()
        self._read_until(process, "STARTED")
        changed = build_settings(platform={"address": "127.0.0.1:2"})
        self.path.write_text(json.dumps(changed), encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        self._read_until(process, "RELOADED")
        process.send_signal(signal.SIGTERM)
        self._read_until(process, "STOPPED")
        self.assertEqual(process.wait(timeout=_TIMEOUT_S), 0)

    def test_signal_before_the_settings_are_read(self):
        # Guards against a SIGHUP that ends a starting instance because its handler is
        # not installed yet. A named pipe in place of the settings file blocks the
        # process at that point.
        process = self._start_with_signal(signal.SIGHUP)
        self._read_until(process, "STARTED")
        self.assertIsNone(process.poll())

    def test_stop_before_the_settings_are_read(self):
        # Guards against a starting instance that appears to have crashed because
        # SIGTERM ends it before its handler is installed.
        process = self._start_with_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=_TIMEOUT_S), 0)

    def _start_with_signal(self, number: signal.Signals) -> subprocess.Popen:
        settings = self.path.read_text(encoding="utf-8")
        self.path.unlink()
        os.mkfifo(self.path)
        process = self._start()
        # Opening the pipe blocks until the process opens it to read its settings.
        with contextlib.suppress(BrokenPipeError), self.path.open("w") as pipe:
            process.send_signal(number)
            updated = self.path.with_suffix(".new")
            updated.write_text(settings, encoding="utf-8")
            updated.replace(self.path)
            pipe.write(settings)
        return process

    def test_invalid_settings_are_not_applied(self):
        process = self._start()
        self._read_until(process, "STARTED")
        self.path.write_text("{", encoding="utf-8")
        process.send_signal(signal.SIGHUP)
        self._read_until(process, "SETTINGS_INVALID")
        self.assertIsNone(process.poll())

    def test_start_without_settings(self):
        self.path.write_text("{}", encoding="utf-8")
        self.assertEqual(self._start().wait(timeout=_TIMEOUT_S), 2)


class GarbageCollectorTest(unittest.TestCase):
    """Work of the garbage collector."""

    def test_objects_of_concurrent_exchanges_are_not_scanned(self):
        # Guards against an owner that spends a tenth of its processor time on scanning
        # objects that are freed without it.
        thresholds = gc.get_threshold()
        self.addCleanup(gc.set_threshold, *thresholds)
        self.addCleanup(gc.unfreeze)
        collections: list[int] = []

        def note_collection(phase: str, info: dict) -> None:
            if phase == "start":
                collections.append(info["generation"])

        configure_garbage_collector()
        gc.callbacks.append(note_collection)
        self.addCleanup(gc.callbacks.remove, note_collection)
        for _ in range(100):
            exchanges = [[number] for number in range(5000)]
            del exchanges
        self.assertEqual(collections, [])


class SettingsTest(unittest.TestCase):
    """Decoding of the settings file."""

    def test_names_are_decoded(self):
        settings = parse_settings(json.dumps(build_settings()))
        self.assertEqual(settings.store_address, ("127.0.0.1", 1))
        self.assertEqual(settings.bounds.shutdown_ms, 6000.0)
        self.assertEqual(settings.bounds.status_ms, 120_000.0)
        self.assertEqual(settings.bounds.overload_ms, 4000.0)

    def test_bounds_are_read(self):
        bounds = {**_BOUNDS, "status_s": 300, "impact_ms": 4500}
        settings = parse_settings(json.dumps(build_settings(bounds=bounds)))
        self.assertEqual(settings.bounds.status_ms, 300_000.0)
        self.assertEqual(settings.bounds.overload_ms, 4500.0)

    def test_missing_bound_is_an_error(self):
        for name in _BOUNDS:
            bounds = {key: value for key, value in _BOUNDS.items() if key != name}
            with self.subTest(name=name), self.assertRaises(SettingsError):
                parse_settings(json.dumps(build_settings(bounds=bounds)))
