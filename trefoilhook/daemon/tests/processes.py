"""Harness that runs daemons as child processes on a local platform of stand-ins.

The processes can be killed, stopped and continued by signals.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.configuration import digest_token
from trefoilhook.daemon import DaemonSettings
from trefoilhook.daemon.tests.evidence import Evidence, Exchange
from trefoilhook.demo import (
    AdminClient,
    Answer,
    EntryClient,
    LocalPlan,
    LocalPlatform,
)
from trefoilhook.demo.cluster import CLUSTER_TOKEN
from trefoilhook.exceptions import TransportError
from trefoilhook.membership import Member, Members
from trefoilhook.requests import format_key, generate_key
from trefoilhook.settings import PeerSettings, ShardSettings, dump_json
from trefoilhook.shards import choose_owner

CALLER = "caller-token"
OPERATOR = "operator-token"
TEAM = "carrowmore"
DEADLINE_S = 120.0
_ROOT = Path(__file__).parents[3]
_POLL_INTERVAL_S = 0.05


@attrs.define(kw_only=True, eq=False)
class Daemon:
    """Process of a daemon and its ports."""

    instance_id: str
    process: trio.Process
    entry_port: int
    admin_port: int
    inner_port: int
    evidence: Evidence

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.evidence.record_signal(self.instance_id, number)
        self.process.send_signal(number)

    @property
    def is_alive(self) -> bool:
        """Whether the process is running."""
        return self.process.poll() is None


def _have_chosen_owners(status: dict) -> bool:
    """Return whether each shard is owned by the instance chosen for it by its hash."""
    members = Members(
        by_id={
            each["instance_id"]: Member(
                instance_id=each["instance_id"],
                incarnation="",
                host="",
                port=0,
                failure_domain="",
                is_leaving=each["state"] == "leaving",
            )
            for each in status["instances"]
        }
    )
    return all(
        shard["owner_instance_id"] == choose_owner(shard["shard_id"], members)
        for shard in status["shards"]
    )


@attrs.define(kw_only=True)
class ProcessCluster:
    """Daemons in child processes and a local platform in this process."""

    platform: LocalPlatform
    folder: Path
    evidence: Evidence
    daemons: list[Daemon] = attrs.field(factory=list)
    started: int = 0

    async def add_daemon(self, *, peers: tuple[Daemon, ...] = ()) -> Daemon:
        """Start a daemon with the given seed peers and wait until it listens."""
        number = self.started
        self.started += 1
        name = f"d-{number}"
        path = self.folder / f"{name}.json"
        settings = self.platform.build_settings(name, number)
        settings = attrs.evolve(
            settings,
            peers=tuple(
                PeerSettings(host="127.0.0.1", port=peer.inner_port) for peer in peers
            ),
        )
        path.write_text(json.dumps(dump_json(settings)), encoding="utf-8")
        command = [
            sys.executable,
            "-m",
            "trefoilhook.daemon",
            "--settings",
            str(path),
            "--print-addresses",
        ]
        log = (self.folder / f"{name}.log").open("wb")
        process = await trio.lowlevel.open_process(
            command,
            stdout=subprocess.PIPE,
            stderr=log,
            cwd=_ROOT,
            env={**os.environ, "PYTHONPATH": str(_ROOT)},
        )
        line = await _read_line(process)
        addresses = json.loads(line)
        daemon = Daemon(
            instance_id=name,
            process=process,
            entry_port=addresses["entry_port"],
            admin_port=addresses["admin_port"],
            inner_port=addresses["inner_port"],
            evidence=self.evidence,
        )
        self.daemons.append(daemon)
        return daemon

    async def start(self, count: int) -> None:
        """Start daemons, wait until every shard is owned and configure a team."""
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(self.add_daemon)
        self.daemons.sort(key=lambda daemon: daemon.instance_id)
        await self.wait_settled()
        await self.configure()

    async def configure(self) -> None:
        """Configure a team with an idempotent and a non-idempotent service."""
        admin = self.open_admin(self.daemons[0])
        subtree = {
            "tokens": {
                "callers": [digest_token(CALLER)],
                "operators": [digest_token(OPERATOR)],
            },
            "services": {
                "seat-check": {"is_idempotent": True},
                "seat-sale": {"is_idempotent": False},
            },
        }
        changed = await admin.send("PUT", f"/v1/config/teams/{TEAM}", subtree)
        target = f"/v1/config/wait?revision={changed['revision']}&timeout_ms=20000"
        await admin.send("GET", target)
        await admin.close()

    def open_entry(self, daemon: Daemon) -> EntryClient:
        """Open a caller's client of a daemon."""
        return EntryClient(
            port=daemon.entry_port, token=CALLER, clock=self.platform.clock
        )

    def open_admin(self, daemon: Daemon, token: str = CLUSTER_TOKEN) -> AdminClient:
        """Open an operator's client of a daemon."""
        return AdminClient(port=daemon.admin_port, token=token)

    async def read_status(self, daemon: Daemon) -> dict:
        """Return the cluster status as a daemon reports it."""
        admin = self.open_admin(daemon)
        try:
            return await admin.send("GET", "/v1/status")
        finally:
            await admin.close()

    async def find_owner(self, shard_id: str, *, via: Daemon) -> Daemon:
        """Return the daemon that owns a shard, according to another daemon."""
        status = await self.read_status(via)
        owners = {s["shard_id"]: s["owner_instance_id"] for s in status["shards"]}
        return next(d for d in self.daemons if d.instance_id == owners[shard_id])

    async def wait_settled(self, *, without: tuple[Daemon, ...] = ()) -> None:
        """Wait until the remaining daemons own all shards and no handover is due."""
        remaining = [d for d in self.daemons if d.is_alive and d not in without]
        shards = self.platform.settings.shards
        count = shards.request_shards + shards.worker_shards
        names = {daemon.instance_id for daemon in remaining}
        while True:
            try:
                status = await self.read_status(remaining[0])
                counts = {
                    i["instance_id"]: i["shard_count"] for i in status["instances"]
                }
                if (
                    set(counts) == names
                    and sum(counts.values()) == count
                    and _have_chosen_owners(status)
                ):
                    return
            except (TransportError, RuntimeError):
                pass
            await trio.sleep(_POLL_INTERVAL_S)

    async def stop(self) -> None:
        """Kill all running daemons and wait for their exit."""
        for daemon in self.daemons:
            if daemon.is_alive:
                daemon.send_signal(signal.SIGKILL)
            await daemon.process.wait()

    def list_repeated_requests(self, service: str) -> list[str]:
        """Return the ids of a service's requests that ran more than once."""
        ids = [
            run.request_id
            for executor_id, standin in self.platform.executors.items()
            if executor_id.startswith(service)
            for run in standin.records.runs
        ]
        return [request_id for request_id in set(ids) if ids.count(request_id) > 1]

    def list_executed_requests(self, service: str) -> set[str]:
        """Return the ids of a service's requests that ran."""
        return {
            run.request_id
            for executor_id, standin in self.platform.executors.items()
            if executor_id.startswith(service)
            for run in standin.records.runs
        }

    def count_overloads(self) -> int:
        """Return how often an executor received more requests than it has slots."""
        return sum(s.records.overloads for s in self.platform.executors.values())

    def describe(self) -> str:
        """Return a description of the run, for the message of a failed test."""
        return self.evidence.describe(
            {
                executor_id: standin.records.runs
                for executor_id, standin in self.platform.executors.items()
            }
        )


@attrs.define(kw_only=True)
class Load:
    """Generates a continuous load on a service and records the answers."""

    cluster: ProcessCluster
    service: str
    answers: list[tuple[str, Answer]] = attrs.field(factory=list)
    failed_keys: list[str] = attrs.field(factory=list)

    async def run(self, daemon: Daemon) -> None:
        """Send requests to a daemon until cancelled, each with a new key."""
        client = self.cluster.open_entry(daemon)
        clock = self.cluster.platform.clock
        while True:
            key = generate_key()
            started_ms = clock.wall_ms()
            answer: Answer | None = None
            try:
                answer = await client.send(
                    TEAM, self.service, b"seat", key=format_key(key), timeout_ms=1_500
                )
                self.answers.append((key.hex(), answer))
            except TransportError:
                self.failed_keys.append(key.hex())
                await trio.sleep(0.02)
            self.cluster.evidence.exchanges.append(
                Exchange(
                    started_ms=started_ms,
                    ended_ms=clock.wall_ms(),
                    entry_id=daemon.instance_id,
                    request_id=key.hex(),
                    code=None if answer is None else answer.code,
                    answered_by="" if answer is None else answer.instance_id,
                    executor_id="" if answer is None else answer.executor_id,
                )
            )
            await trio.sleep(0.005)


async def _read_line(process: trio.Process) -> str:
    assert process.stdout is not None
    data = b""
    while not data.endswith(b"\n"):
        chunk = await process.stdout.receive_some()
        if not chunk:
            raise RuntimeError("the daemon exited before it printed its addresses")
        data += chunk
    return data.decode()


def run_processes(
    scenario: Callable[[ProcessCluster], Awaitable[None]],
    *,
    daemons: int = 3,
    settings: DaemonSettings | None = None,
    service_time_ms: float = 5.0,
) -> None:
    """Run a scenario on new daemons, which are killed afterwards in any case.

    A description of the run is added as a note to the exception of a failure.
    """

    async def run_scenario(cluster: ProcessCluster) -> None:
        try:
            await cluster.start(daemons)
            await scenario(cluster)
        finally:
            with trio.CancelScope(shield=True):
                await cluster.stop()

    async def run() -> None:
        cluster: ProcessCluster | None = None
        with tempfile.TemporaryDirectory() as folder:
            try:
                with trio.fail_after(DEADLINE_S):
                    async with trio.open_nursery() as nursery:
                        platform = LocalPlatform(
                            clock=build_system_clock(),
                            nursery=nursery,
                            plan=LocalPlan(
                                services={
                                    f"{TEAM}/seat-check": 3,
                                    f"{TEAM}/seat-sale": 3,
                                },
                                workers=3,
                                service_time_ms=service_time_ms,
                            ),
                            settings=settings or build_settings(),
                        )
                        await platform.start()
                        evidence = Evidence(clock=platform.clock, folder=Path(folder))
                        nursery.start_soon(evidence.watch_delays)
                        cluster = ProcessCluster(
                            platform=platform, folder=Path(folder), evidence=evidence
                        )
                        await run_scenario(cluster)
                        nursery.cancel_scope.cancel()
            except Exception as error:
                if cluster is not None:
                    error.add_note(cluster.describe())
                raise

    trio.run(run)


def build_settings() -> DaemonSettings:
    """Build settings with one worker shard and several request shards per daemon."""
    settings = DaemonSettings()
    return attrs.evolve(
        settings,
        shards=ShardSettings(request_shards=12, worker_shards=1),
        requests=attrs.evolve(settings.requests, shard_count=12),
    )
