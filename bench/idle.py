"""Processor time, memory and control traffic of an idle instance.

Run from the root of the repository: ``python -m bench.idle``. Nine instances run as
processes, with 24 executors and 24 workers but no requests or jobs. Traffic is read
from ``ss`` for the open connections of the instances, in both directions; without
``ss`` it is reported as 0.
"""

import re
import shutil
import subprocess

import numpy as np
import trio

from bench.system import CpuMeter, System, read_rss_mb, run_system

_INSTANCES = 9
_EXECUTORS = 24
_WORKERS = 24
_SETTLE_S = 10.0
_RUN_S = 20.0
_BYTES = re.compile(r"bytes_(?:sent|received):(\d+)")


def _read_bytes(pids: set[int]) -> int:
    """Return the bytes sent and received on the open connections of processes."""
    if shutil.which("ss") is None:
        return 0
    lines = subprocess.run(["ss", "-tinpHO"], capture_output=True, text=True).stdout
    return sum(
        sum(map(int, _BYTES.findall(line)))
        for line in lines.splitlines()
        if any(f"pid={pid}," in line for pid in pids)
    )


async def _measure(system: System) -> None:
    await system.add_executors("seat-check", _EXECUTORS)
    await trio.sleep(_SETTLE_S)
    pids = [daemon.process.pid for daemon in system.daemons]
    meters = [CpuMeter(pid=pid) for pid in pids]
    for meter in meters:
        meter.start()
    calls = sum(system.platform.store.counts.calls.values())
    bytes_before = _read_bytes(set(pids))
    await trio.sleep(_RUN_S)
    cpu_shares = [meter.read_s() / _RUN_S for meter in meters]
    control_bytes = _read_bytes(set(pids)) - bytes_before
    calls = sum(system.platform.store.counts.calls.values()) - calls
    resident_mb = [read_rss_mb(pid) for pid in pids]
    print(f"{_INSTANCES} idle instances, {_EXECUTORS} executors, {_WORKERS} workers")
    print(
        f"share of a core: mean {np.mean(cpu_shares):.2%}, most {max(cpu_shares):.2%}"
    )
    print(
        f"resident memory: mean {np.mean(resident_mb):.0f} MB, "
        f"most {max(resident_mb):.0f} MB"
    )
    print(
        f"bytes for control: {control_bytes / _RUN_S / _INSTANCES / 1000:.1f} KB/s each"
    )
    print(f"store calls: {calls / _RUN_S / _INSTANCES:.2f}/s each")


if __name__ == "__main__":
    run_system(_measure, daemons=_INSTANCES, workers=_WORKERS)
