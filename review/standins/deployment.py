"""A small deployment: the project's processes, executors and the platform's store."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

from review.standins import web
from review.standins.executor import Executor, Run
from review.standins.store import Store

ROOT = Path(__file__).resolve().parents[2]
HOST = "nony24.example"
SERVICE = "huvo11a"
RESTART_S = 1.0
"""Delay until the platform starts a process again that has ended."""

_HEARTBEAT_S = 1.5
_COMMAND = ("python3", "-m", "trefoilhook", "--metrics-port")
"""Command of the deploy file, without the port."""

BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "max_hold_ms": 10000,
    "stop_grace_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint_s": 0.5,
    "lease_ms": 3000,
    "pace_ms": 100,
    "impact_ms": 4000,
}


def _find_port() -> int:
    """Return a free port that no outgoing channel is given."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return port


def build_route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 250,
        "priority": 0,
        "service": SERVICE,
        "max_attempts": 3,
        "stretch": 1.5,
        **fields,
    }


class Instance:
    """One machine with the project's process.

    Parameters
    ----------
    name : str
        Its name.
    folder : Path
        Folder of its settings and its output.
    store_port : int
        Port of the store for this machine.
    """

    def __init__(self, name: str, folder: Path, store_port: int) -> None:
        self.name = name
        self.port = _find_port()
        self.own_ends: list[tuple[float, int]] = []
        self._folder = folder
        self._store_port = store_port
        self._readiness_port = _find_port()
        self._metrics_port = _find_port()
        self._process: subprocess.Popen[bytes] | None = None
        self._is_signalled = False

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        address = "127.0.0.1"
        settings = {
            "node_name": self.name,
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": address,
            "zone": "sligo-hall",
            "region": "connacht-west",
            "zones": {"sligo-hall": "connacht-west"},
            "listen_addrs": {
                "frontend": f"{address}:{self.port}",
                "readiness": f"{address}:{self._readiness_port}",
            },
            "limits": {"cpu_share": 1.0, "cores": 1, "link_mbps": 1000.0},
            "heartbeat_ms": 1500,
            "bounds": BOUNDS,
            "control_mode": "rpc",
            "platform": {"address": f"{address}:{self._store_port}", "form": "kv"},
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            "TREFOILHOOK_BOOT": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        self._is_signalled = False
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [*_COMMAND, str(self._metrics_port)],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process; its end is then none of its own."""
        if self._process is not None and self._process.poll() is None:
            self._is_signalled = number in (signal.SIGTERM, signal.SIGKILL)
            self._process.send_signal(number)

    def take_end(self) -> tuple[int, bool] | None:
        """Return how the process has ended, and whether by itself; None if not."""
        if self._process is None or self._process.poll() is None:
            return None
        code, self._process = int(self._process.returncode), None
        if not self._is_signalled:
            self.own_ends.append((time.monotonic(), code))
        return code, not self._is_signalled

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.kill()
            self._process.wait()
            self._process = None

    def read_errors(self) -> list[str]:
        """Return the last lines of the tracebacks that the process has written."""
        text = (self._folder / f"{self.name}.log").read_text("utf-8", "replace")
        return [line.strip("|+ -") for line in text.splitlines() if "Error" in line]


class Deployment:
    """Processes, executors and store, with a record of what happens.

    Parameters
    ----------
    record : Path
        File for the record.
    folder : Path
        Temporary folder.
    """

    def __init__(self, record: Path, folder: Path) -> None:
        self._lines = record.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self._folder = folder
        self._tasks: list[asyncio.Task[None]] = []
        self._version = 5
        self.store = Store(self.note)
        self.gangs: dict[tuple[str, int], list[Run]] = {}
        self.instances: list[Instance] = []
        self.executors: list[Executor] = []

    def note(self, line: str) -> None:
        """Write a line to the record."""
        self._lines.write(f"{time.monotonic() - self._began:8.3f} {line}\n")
        self._lines.flush()

    def spawn(self, work: Any) -> None:
        """Run a coroutine until the end of the deployment."""
        self._tasks.append(asyncio.ensure_future(work))

    async def start(
        self, *, instances: int, executors: int, routes: list[dict[str, Any]]
    ) -> None:
        """Start everything."""
        self.spawn(self.store.expire_leases())
        self.configure(routes)
        for number in range(executors):
            await self.add_executor(f"i-{number}")
        for number in range(instances):
            name = f"frontend-{number}"
            port = await self.store.open(name)
            self.instances.append(Instance(name, self._folder, port))
            self.instances[-1].start()
        self.spawn(self._restart_ended())
        await asyncio.sleep(3.0)

    async def stop(self) -> None:
        """End everything that was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances:
            instance.kill()
        self._lines.close()

    def configure(self, routes: list[dict[str, Any]]) -> None:
        """Write a configuration with these routes, as the operator does."""
        self._version += 2
        service = {"name": SERVICE, "rejects_overload": False, "standby": False}
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": routes,
                "services": [service],
                "limits": {},
            },
        )
        names = ", ".join(route["name"] for route in routes)
        self.note(f"operator: version {self._version} confirmed, routes {names}")

    async def add_executor(self, name: str, **fields: Any) -> Executor:
        """Start an executor that writes its entry regularly while it is up."""
        executor = Executor(name, SERVICE, self.gangs, self.note, **fields)
        await executor.open()
        self.executors.append(executor)
        self.spawn(executor.work())
        self.spawn(self._report(executor))
        await asyncio.sleep(0)
        return executor

    async def _report(self, executor: Executor) -> None:
        sequence = 0
        while executor.is_up:
            sequence += 1
            self.store.put(f"servers/{executor.name}", executor.describe(sequence))
            await asyncio.sleep(_HEARTBEAT_S)
        await asyncio.sleep(3 * _HEARTBEAT_S)
        self.store.remove(f"servers/{executor.name}")

    async def _restart_ended(self) -> None:
        """Start processes again that have ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            for instance in self.instances:
                end = instance.take_end()
                if end is None:
                    continue
                code, is_own = end
                why = "by itself" if is_own else "after a signal"
                self.note(f"{instance.name}: process ended {why}, code {code}")
                self.spawn(self._restart(instance))

    async def _restart(self, instance: Instance) -> None:
        await asyncio.sleep(RESTART_S)
        instance.start()
        self.note(f"{instance.name}: process started")

    def find_leader(self) -> Instance:
        """Return the machine that last wrote to the store under a condition."""
        return next(
            each for each in self.instances if each.name == self.store.last_writer
        )

    def list_runs(self, job: str) -> list[Run]:
        """Return all runs of a job, in the order of their starts."""
        runs = [run for each in self.executors for run in each.history]
        return sorted((r for r in runs if r.job == job), key=lambda run: run.began)

    # Consumers.

    async def send(
        self, method: str, target: str, body: Any = None, *, at: int = 0
    ) -> tuple[int, Any]:
        """Send a request as a consumer does: an unanswered one to the next node."""
        status, value = 0, None
        for attempt in range(5):
            instance = self.instances[(at + attempt) % len(self.instances)]
            status, value = await web.call(
                instance.port, method, target, host=HOST, body=body
            )
            answer = "no answer" if not status else f"{status} {value}"
            self.note(f"consumer: {method} {target} at {instance.name}: {answer}")
            if status not in (0, 429, 502, 503, 504):
                return status, value
            await asyncio.sleep(0.5)
        return status, value

    async def submit(
        self, target: str, spec: list[dict[str, Any]], steps: list[dict[str, Any]]
    ) -> bool:
        """Hand a job in; return whether it was accepted."""
        body = {"spec": json.dumps(spec), "steps": steps}
        status, _ = await self.send("POST", target, body)
        return 200 <= status < 300


@contextlib.asynccontextmanager
async def open_deployment(record: Path) -> AsyncIterator[Deployment]:
    """Make a deployment whose processes are ended in any case."""
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(record, Path(folder))
        try:
            yield deployment
        finally:
            await deployment.stop()


def wants_trouble() -> bool:
    """Return whether the disruption is to be caused."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play: Callable[[], Awaitable[tuple[int, str]]]) -> None:
    """Play a case, print its result and end the script with its outcome.

    A signal ends the script too, after the processes that it has started.
    """

    async def run() -> tuple[int, str]:
        task = asyncio.ensure_future(play())
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await task
        except asyncio.CancelledError:
            return 2, "ended by a signal"
        except Exception as error:
            return 2, f"could not run: {error!r}"

    outcome, text = asyncio.run(run())
    print(text)
    sys.exit(outcome)
