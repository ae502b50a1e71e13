"""Complete system for the benchmarks, with daemons and executors as processes.

The store, the instance list and the workers run in the benchmark's process, as they
receive few calls. Executors and callers run in separate processes, so that they do not
become the bottleneck. Each process is terminated through its own handle.
"""

import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import attrs
import numpy as np
import trio

from bench.callers import LoadResult, LoadSettings
from trefoilhook.clock import build_system_clock
from trefoilhook.daemon import DaemonSettings
from trefoilhook.daemon.tests.processes import (
    CALLER,
    TEAM,
    Daemon,
    ProcessCluster,
)
from trefoilhook.demo import LocalPlan, LocalPlatform
from trefoilhook.instances import ExecutorRecord
from trefoilhook.standins import InstanceLists

__all__ = ["CpuMeter", "System", "format_quantiles", "run_system"]

ROOT = Path(__file__).parents[1]
_HOST = "127.0.0.1"
_DOMAINS = ("fd-1", "fd-2", "fd-3")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_US_PER_S = 1_000_000
_DEADLINE_S = 150.0


@attrs.define(kw_only=True)
class System(ProcessCluster):
    """A cluster of daemons with executors in separate processes.

    Parameters
    ----------
    service_time_ms : float
        Service time of the executors, in ms.
    """

    service_time_ms: float = 5.0
    executor_processes: list[trio.Process] = attrs.field(factory=list)

    async def add_executors(
        self, service: str, count: int, *, names: list[str] | None = None
    ) -> list[ExecutorRecord]:
        """Start executors in one process and add them to the instance list."""
        command = [sys.executable, "-m", "bench.executors", str(count)]
        process = await trio.lowlevel.open_process(
            [*command, str(self.service_time_ms)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=ROOT,
        )
        self.executor_processes.append(process)
        ports = json.loads(await _read_line(process))
        known = self.platform.instance_list.lists
        names = names or [
            f"{service}-{len(self.executor_processes)}-{n}" for n in range(count)
        ]
        records = [
            ExecutorRecord(
                executor_id=name,
                team=TEAM,
                service=service,
                host=_HOST,
                port=port,
                failure_domain=_DOMAINS[number % len(_DOMAINS)],
            )
            for number, (name, port) in enumerate(zip(names, ports, strict=True))
        ]
        executors = (*known.executors, *records)
        self.platform.instance_list.set_lists(
            InstanceLists(executors=executors, workers=known.workers)
        )
        return records

    def build_load(
        self, daemon: Daemon, service: str, **options: object
    ) -> LoadSettings:
        """Build the load settings for callers of a daemon."""
        settings = self.platform.settings
        return LoadSettings(
            port=daemon.entry_port,
            token=CALLER,
            team=TEAM,
            service=service,
            shard_count=settings.requests.shard_count,
            **options,
        )

    async def run_load(self, load: LoadSettings) -> LoadResult:
        """Generate load in a separate process."""
        result = await trio.run_process(
            [sys.executable, "-m", "bench.callers", json.dumps(attrs.asdict(load))],
            capture_stdout=True,
            cwd=ROOT,
        )
        return LoadResult(**json.loads(result.stdout))

    async def list_shards(self, daemon: Daemon) -> list[str]:
        """Return the request shards that a daemon owns."""
        status = await self.read_status(daemon)
        return [
            shard["shard_id"]
            for shard in status["shards"]
            if shard["owner_instance_id"] == daemon.instance_id
            and shard["shard_id"].startswith("req-")
        ]

    async def stop(self) -> None:
        """Terminate all started processes."""
        for process in self.executor_processes:
            process.kill()
            await process.wait()
        await super().stop()


@attrs.define(kw_only=True)
class CpuMeter:
    """Processor time of a process since the start of the measurement."""

    pid: int
    _start_s: float = 0.0

    def start(self) -> None:
        """Start the measurement."""
        self._start_s = self._read_s()

    def read_s(self) -> float:
        """Return the processor time since the start, in s."""
        return self._read_s() - self._start_s

    def _read_s(self) -> float:
        fields = Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def read_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB of 10^6 bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * _PAGE_BYTES / 1e6


def format_quantiles(latencies_ms: list[float]) -> str:
    """Return p50, p99 and the number of latencies as three columns."""
    if not latencies_ms:
        return f"{'-':>8} {'-':>8} {0:>8}"
    p50, p99 = np.percentile(latencies_ms, [50, 99])
    return f"{p50:>8.2f} {p99:>8.2f} {len(latencies_ms):>8}"


async def _read_line(process: trio.Process) -> str:
    assert process.stdout is not None
    data = b""
    while not data.endswith(b"\n"):
        chunk = await process.stdout.receive_some()
        if not chunk:
            raise RuntimeError("process exited before it reported its ports")
        data += chunk
    return data.decode()


def run_system(
    scenario: Callable[[System], Awaitable[None]],
    *,
    daemons: int,
    service_time_ms: float = 5.0,
    settings: DaemonSettings | None = None,
    workers: int = 3,
) -> None:
    """Run a scenario on a system, and terminate all processes afterwards."""

    async def run() -> None:
        with trio.fail_after(_DEADLINE_S), tempfile.TemporaryDirectory() as folder:
            async with trio.open_nursery() as nursery:
                platform = LocalPlatform(
                    clock=build_system_clock(),
                    nursery=nursery,
                    plan=LocalPlan(services={}, workers=workers),
                    settings=settings or DaemonSettings(),
                )
                await platform.start()
                system = System(
                    platform=platform,
                    folder=Path(folder),
                    service_time_ms=service_time_ms,
                )
                try:
                    await system.start(daemons)
                    await scenario(system)
                finally:
                    with trio.CancelScope(shield=True):
                        await system.stop()
                nursery.cancel_scope.cancel()

    trio.run(run)
