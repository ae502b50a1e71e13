"""A small deployment for the cases of the second review.

The processes under test are started with the command of the deploy file. The store,
the executors and the clients are stand-ins in the process of the case. An executor does
what the platform's pages say and nothing else; ``Work`` tells it what a task is.
"""

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
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import trio
from store_2 import Store

from trefoilhook.http import HttpClient, HttpRequest, HttpResponse, HttpServer

__all__ = [
    "BOUNDS",
    "Deployment",
    "Executor",
    "Record",
    "Run",
    "Work",
    "is_troubled",
    "run_case",
]

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
SERVICE = "visitor-bookings"
HEARTBEAT_MS = 1500
_PORTS = range(10_000, 32_000)
_MAX_DURATION_S = 112.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 20, 21, 22
"""Exit codes of a case's program, which differ from those of an interpreter that
fails; ``play.sh`` translates them."""

BOUNDS: dict[str, Any] = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "recovery_s": 12,
    "max_hold_ms": 10000,
    "stop_grace_ms": 900,
    "gang_timeout_ms": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "checkpoint_s": 0.5,
    "restore_ms": 600,
    "notice_ms": 4500,
    "fencing_enforced": True,
    "lease_ms": 3000,
    "pace_ms": 100,
    "impact_ms": 4000,
}
"""Bounds of the site carrowmore-sched."""


def is_troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def now_s() -> float:
    """Return the monotonic time, in s."""
    return time.monotonic()


_used_ports: set[int] = set()


def find_port() -> int:
    """Return a free port below the ephemeral range."""
    choice = random.SystemRandom()
    for _ in range(1000):
        port = choice.choice(_PORTS)
        if port in _used_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            _used_ports.add(port)
            return port
    raise RuntimeError("no free port")


class Record:
    """The lines of ``record.txt``: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = now_s()

    def write(self, text: str) -> None:
        """Write one line with the time since the start of the case."""
        self._file.write(f"{now_s() - self._began_s:8.3f} {text}\n")
        self._file.flush()


@attrs.define(kw_only=True)
class Work:
    """What executors know of a job's tasks.

    Parameters
    ----------
    run_ms : float
        Time that a task works until it is done.
    gang_size : int
        Number of members that have to be present; 0 for tasks that work alone.
    lasts : bool
        Whether the tasks run until they are stopped.
    darkens_ms : float or None
        Time after a start at which the task crashes its executor's machine.
    fails_ms : float or None
        Time after a start at which the task ends as failed.
    """

    run_ms: float = 500.0
    gang_size: int = 0
    lasts: bool = False
    darkens_ms: float | None = None
    fails_ms: float | None = None


@attrs.define(kw_only=True, eq=False)
class Run:
    """One run of a task on an executor."""

    task: str
    attempt: int
    executor: str
    token: int
    started_s: float
    work_since_s: float | None = None
    ended_s: float | None = None
    how: str = ""

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.task.partition(".")[0]


class Executor:
    """One life of an executor that doesn't guard its capacity.

    Parameters
    ----------
    world : Deployment
        The deployment.
    executor_id : str
        Its id.
    port : int
        Port of its address.
    zone, rack : str
        Where it stands.
    cpu : int
        Its capacity, in thousandths of a core.
    """

    def __init__(
        self,
        *,
        world: "Deployment",
        executor_id: str,
        port: int,
        zone: str,
        rack: str,
        cpu: int,
    ) -> None:
        self._world = world
        self.executor_id = executor_id
        self.port = port
        self.zone = zone
        self.rack = rack
        self.cpu = cpu
        self.is_dark = False
        self.fails_all = False
        self.is_listed = False
        self.runs: dict[tuple[str, int], Run] = {}
        self._token = 0
        self._deadline_ms = 0.0
        self._settled: dict[str, int] = {}
        self._ends: list[tuple[int, Run]] = []
        self._end_count = 0
        self._began_s = now_s()
        self._sequence = 0
        self._changed = trio.Event()
        self.scope = trio.CancelScope()

    def read_clock(self) -> float:
        """Return its own clock, in ms."""
        return (now_s() - self._began_s) * 1000.0

    def describe(self) -> dict[str, Any]:
        """Return its entry in the store."""
        self._sequence += 1
        return {
            "service": SERVICE,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": 64000, "gpu": 0},
            "labels": ["a", self.rack],
            "clock_ms": int(self.read_clock()),
            "sequence": self._sequence,
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve, report and work until its scope is cancelled."""
        server = HttpServer(handler=self._handle, host=HOST, port=self.port)
        with self.scope:
            async with trio.open_nursery() as nursery:
                await nursery.start(server.run)
                nursery.start_soon(self._report)
                task_status.started()
                while True:
                    if not self.is_dark:
                        self._advance()
                    await trio.sleep(0.01)

    async def _report(self) -> None:
        while True:
            if not self.is_dark:
                self._world.write_entry(self)
            await trio.sleep(HEARTBEAT_MS / 1000.0)

    def go_dark(self) -> None:
        """Lose power: nothing runs, and nobody is answered from now on."""
        self.is_dark = True
        self._world.record.write(f"executor {self.executor_id} is dark")
        for run in list(self.runs.values()):
            run.ended_s, run.how = now_s(), "crashed"
            self._world.record.write(f"crashed {run.task} #{run.attempt}")
        self.runs.clear()

    # Work.

    def _advance(self) -> None:
        for run in list(self.runs.values()):
            work = self._world.find_work(run)
            age_ms = (now_s() - run.started_s) * 1000.0
            if work.darkens_ms is not None and age_ms >= work.darkens_ms:
                self.go_dark()
                return
            if self.read_clock() > self._deadline_ms:
                self.end(run, "lapsed")
                continue
            fails_ms = 0.0 if self.fails_all else work.fails_ms
            if fails_ms is not None and age_ms >= fails_ms:
                self.end(run, "failed")
                continue
            if run.work_since_s is None and not self._begin_work(run, work, age_ms):
                continue
            worked_ms = (now_s() - (run.work_since_s or now_s())) * 1000.0
            if not work.lasts and worked_ms >= work.run_ms:
                self._world.end_unit(run, work)

    def _begin_work(self, run: Run, work: Work, age_ms: float) -> bool:
        if not work.gang_size:
            run.work_since_s = now_s()
            return True
        members = self._world.list_members(run)
        if len(members) >= work.gang_size:
            for member in members:
                member.work_since_s = now_s()
            return True
        if age_ms > BOUNDS["gang_timeout_ms"]:
            self.end(run, "alone")
        return False

    def end(self, run: Run, how: str) -> None:
        """End a run; the end is listed until it is taken note of."""
        if self.runs.pop((run.task, run.attempt), None) is None:
            return
        run.ended_s, run.how = now_s(), how
        self._settled[run.task] = max(self._settled.get(run.task, 0), run.attempt)
        self._end_count += 1
        self._ends.append((self._end_count, run))
        self._world.record.write(
            f"ended {run.task} #{run.attempt} on {self.executor_id}: {how}"
        )
        self._changed.set()
        self._changed = trio.Event()

    # Calls.

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if self.is_dark:
            await trio.sleep_forever()
        if request.path == "/healthz":
            return HttpResponse(status=200)
        if request.get_header("expect-instance") != self.executor_id:
            return HttpResponse(status=421)
        body = request.parse_json()
        if body["fencing_token"] < self._token:
            return self._refuse("fence")
        self._token = body["fencing_token"]
        name = request.path.removeprefix("/trefoilhook/")
        if name == "run-start":
            response = self._start(body)
        elif name == "run-stop":
            response = self._stop(body)
        elif name == "hold":
            response = await self._hold(body)
        else:
            response = self._reply({})
        if self.is_dark:
            await trio.sleep_forever()
        return response

    def _extend(self, deadline_ms: float) -> None:
        longest_ms = self.read_clock() + BOUNDS["max_hold_ms"]
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict[str, Any]) -> HttpResponse:
        task, attempt = body["task"], body["attempt"]
        self._extend(body["deadline_ms"])
        if (task, attempt) in self.runs:
            return self._reply({})
        if attempt <= self._settled.get(task, 0):
            return self._refuse("old")
        if self.read_clock() > body["deadline_ms"]:
            return self._refuse("late")
        run = Run(
            task=task,
            attempt=attempt,
            executor=self.executor_id,
            token=body["fencing_token"],
            started_s=now_s(),
        )
        self.runs[task, attempt] = run
        self._world.runs.append(run)
        self._world.record.write(
            f"started {task} #{attempt} on {self.executor_id} token {run.token}"
        )
        return self._reply({})

    def _stop(self, body: dict[str, Any]) -> HttpResponse:
        task, attempt = body["task"], body["attempt"]
        run = self.runs.get((task, attempt))
        if run is not None:
            self.end(run, "stopped")
        self._settled[task] = max(self._settled.get(task, 0), attempt)
        return self._reply({})

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        self._extend(body.get("deadline_ms", 0))
        self._ends = [end for end in self._ends if end[0] > body["acked"]]
        with trio.move_on_after(body.get("wait_ms", 0) / 1000.0):
            while not self._ends and not self.is_dark:
                await self._changed.wait()
        rows = []
        for run in self.runs.values():
            work = self._world.find_work(run)
            percent = 0
            if run.work_since_s is not None:
                worked_ms = (now_s() - run.work_since_s) * 1000.0
                percent = 100 if work.lasts else int(100 * worked_ms / work.run_ms)
            rows.append([run.task, run.attempt, "", min(100, percent), 5])
        ends = [[n, r.task, r.attempt, r.how, ""] for n, r in self._ends[:500]]
        return self._reply({"running": rows, "finished": ends})

    def _reply(self, value: dict[str, Any]) -> HttpResponse:
        return HttpResponse.from_json({"clock_ms": int(self.read_clock()), **value})

    def _refuse(self, reason: str) -> HttpResponse:
        value = {"clock_ms": int(self.read_clock()), "reason": reason}
        return HttpResponse.from_json(value, status=409)


@attrs.define(kw_only=True, eq=False)
class Instance:
    """One process of the project."""

    name: str
    port: int
    readiness_port: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None


class Deployment:
    """The store, the executors and the project's processes.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the stand-ins.
    record : Record
        Receives what is sent, answered and run.
    folder : Path
        Temporary folder of the settings and logs.
    """

    def __init__(self, *, nursery: trio.Nursery, record: Record, folder: Path) -> None:
        self.nursery = nursery
        self.record = record
        self.folder = folder
        self.store = Store(port=find_port())
        self.instances: list[Instance] = []
        self.executors: list[Executor] = []
        self.runs: list[Run] = []
        self.work: dict[str, Work] = {}
        self.settings: dict[str, Any] = {}
        self.more_routes: list[dict[str, Any]] = []
        self.prefix = "/lohu930/"
        self.host_name = HOST
        self._heard_s: dict[str, float] = {}

    async def start(
        self,
        *,
        instances: int = 3,
        executors: int = 8,
        cpu: int = 4000,
        route: dict[str, Any] | None = None,
    ) -> None:
        """Start everything, and wait until all processes are ready."""
        await self.nursery.start(self.store.server.run)
        self.nursery.start_soon(self.store.expire_leases)
        self.nursery.start_soon(self._expire_entries)
        self.write_configuration(7, **(route or {}))
        for number in range(executors):
            await self.add_executor(number, cpu=cpu)
        for number in range(instances):
            self._start_instance(number)
        with trio.fail_after(30.0):
            for instance in self.instances:
                while await self._probe(instance) != 200:
                    self._relaunch_ended(instance)
                    await trio.sleep(0.1)
        await trio.sleep(2.0)

    def write_configuration(self, version: int, **fields: Any) -> None:
        """Write the operator's configuration with one or two routes."""
        route = {
            "name": "r-3hwrr6x",
            "host": self.host_name,
            "prefix": self.prefix,
            "kind": "non_idempotent",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 3,
            "stretch": 1.5,
            **fields,
        }
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "rejects_overload": False,
            "standby": False,
        }
        self.store.write(
            "op/config",
            {
                "version": version,
                "routes": [route, *self.more_routes],
                "services": [service],
                "limits": {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 262144,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
            },
        )

    async def add_executor(
        self, number: int, *, cpu: int, port: int | None = None, life: int = 0
    ) -> Executor:
        """Start one life of an executor."""
        executor = Executor(
            world=self,
            executor_id=f"i-{number:02d}{life:02d}a91c",
            port=port or find_port(),
            zone=f"z{number % 3}",
            rack=f"r1-{number // 8}",
            cpu=cpu,
        )
        self.executors.append(executor)
        await self.nursery.start(executor.run)
        return executor

    def write_entry(self, executor: Executor) -> None:
        """Write the entry of an executor into the store."""
        key = f"servers/{executor.executor_id}"
        self._heard_s[key] = now_s()
        executor.is_listed = True
        self.store.write(key, executor.describe())

    async def _expire_entries(self) -> None:
        """Remove entries after three intervals of silence."""
        while True:
            await trio.sleep(0.1)
            for key, heard_s in list(self._heard_s.items()):
                if now_s() - heard_s > 3 * HEARTBEAT_MS / 1000.0:
                    del self._heard_s[key]
                    self.store.remove(key)
                    self.record.write(f"entry {key} is removed")

    def find_work(self, run: Run) -> Work:
        """Return what a task is; a step may differ from its job."""
        known = self.work.get(f"{run.job}.{run.task.split('.')[2]}")
        return known or self.work.get(run.job) or Work()

    def list_members(self, run: Run) -> list[Run]:
        """Return the members of a gang's run that are present."""
        step = run.task.rpartition(".")[0]
        return [
            other
            for executor in self.executors
            for other in executor.runs.values()
            if other.task.rpartition(".")[0] == step and other.attempt == run.attempt
        ]

    def end_unit(self, run: Run, work: Work) -> None:
        """End a task, or all members of a gang together, as done."""
        members = self.list_members(run) if work.gang_size else [run]
        for member in members:
            for executor in self.executors:
                if executor.executor_id == member.executor:
                    executor.end(member, "done")

    # Processes.

    def _start_instance(self, number: int) -> None:
        folder = self.folder / f"i{number}"
        folder.mkdir()
        instance = Instance(
            name=f"frontend-z{number % 3}-{number}",
            port=find_port(),
            readiness_port=find_port(),
            folder=folder,
        )
        self.instances.append(instance)
        self.launch(instance)

    def _relaunch_ended(self, instance: Instance) -> None:
        """Start a process again that another program's port has ended."""
        if instance.process is not None and instance.process.poll() is not None:
            instance.port, instance.readiness_port = find_port(), find_port()
            self.launch(instance)

    def launch(self, instance: Instance) -> None:
        """Start the process of an instance."""
        path = instance.folder / "node.json"
        path.write_text(json.dumps(self._build_settings(instance)), encoding="utf-8")
        words = ["python3", "-m", "trefoilhook", "--metrics-port", str(find_port())]
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "TREFOILHOOK_BOOT": str(path),
        }
        with (instance.folder / "log.txt").open("ab") as log:
            instance.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
            )
        self.record.write(f"process {instance.name} is started")

    def _build_settings(self, instance: Instance) -> dict[str, Any]:
        zone = instance.name.split("-")[1]
        return {
            "node_name": instance.name,
            "role": "scheduler",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": HOST,
            "zone": zone,
            "region": "connacht-west",
            "zones": {f"z{i}": "connacht-west" for i in range(3)},
            "listen_addrs": {
                "frontend": f"{HOST}:{instance.port}",
                "readiness": f"{HOST}:{instance.readiness_port}",
            },
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 1.0, "cores": 1, "memory_mb": 300, "max_fds": 4100},
            "heartbeat_ms": HEARTBEAT_MS,
            "bounds": BOUNDS,
            "control_mode": "rpc",
            "platform": {
                "address": f"{HOST}:{self.store.port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "min_ttl_ms": 1000,
            },
            **self.settings,
        }

    def find_owner(self) -> Instance:
        """Return the instance that owns the shard, by its log."""
        best: tuple[float, Instance] | None = None
        for instance in self.instances:
            text = (instance.folder / "log.txt").read_text(encoding="utf-8")
            for line in text.splitlines():
                if '"SHARD_CLAIMED"' in line:
                    at_s = float(json.loads(line)["t"])
                    if best is None or at_s > best[0]:
                        best = at_s, instance
        if best is None:
            raise RuntimeError("no owner")
        return best[1]

    def close(self) -> None:
        """Kill all processes that the case started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()

    # Clients.

    async def _probe(self, instance: Instance) -> int:
        client = HttpClient(host=HOST, port=instance.readiness_port)
        request = HttpRequest(method="GET", target="/trefoilhook/readyz")
        try:
            return (await client.send(request, timeout_ms=1000.0)).status
        except Exception:
            return 0
        finally:
            await client.close()

    async def call(
        self, method: str, rest: str, body: Any = None, *, at: Instance | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Send one request of a consumer; status 0 means that no answer came."""
        instance = at or self.instances[0]
        client = HttpClient(host=HOST, port=instance.port)
        request = HttpRequest(
            method=method,
            target=self.prefix + rest,
            headers=(
                ("deadline-ms", "3000"),
                ("content-type", "application/json"),
            ),
            body=json.dumps(body).encode() if body is not None else b"",
        )
        status, answer = 0, b""
        try:
            response = await client.send(request, timeout_ms=3000.0)
            status, answer = response.status, response.body
        except Exception as error:
            self.record.write(f"no answer: {error!r}")
        finally:
            await client.close()
        value = json.loads(answer) if answer else {}
        self.record.write(
            f"{method} {self.prefix}{rest} at {instance.name}: {status} {value}"
        )
        return status, value


async def _play(case: Callable[[Deployment], Any], path: Path, **options: Any) -> int:
    record = Record(path)
    code = 2
    with tempfile.TemporaryDirectory() as folder:
        async with trio.open_nursery() as nursery:
            world = Deployment(nursery=nursery, record=record, folder=Path(folder))
            try:
                with trio.fail_after(_MAX_DURATION_S):
                    await world.start(**options)
                    code = await case(world)
            except (trio.TooSlowError, RuntimeError, OSError) as error:
                record.write(f"the case couldn't run: {error!r}")
            finally:
                world.close()
                if os.environ.get("KEEP_LOGS"):
                    for instance in world.instances:
                        text = (instance.folder / "log.txt").read_bytes()
                        name = f"{instance.name}.log"
                        (Path(os.environ["KEEP_LOGS"]) / name).write_bytes(text)
            nursery.cancel_scope.cancel()
    record.write(f"exit {code}")
    return code


def run_case(case: Callable[[Deployment], Any], file: str, **options: Any) -> None:
    """Run a case and exit with its code."""
    path = Path(file).resolve().parent / "record.txt"
    codes = {0: EXIT_HELD, 1: EXIT_BROKEN}
    code = trio.run(lambda: _play(case, path, **options))
    sys.exit(codes.get(code, EXIT_NOT_RUN))
