"""What an idle instance takes: processor time, memory and bytes for control.

Run from the root of the repository: ``python -m bench.idle``. Nine instances as
processes, 24 executors and 24 workers, no requests and no jobs. Bytes are those of
``ss`` for the instance's open connections, both directions; without ``ss`` they are
left out.
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
    """Return the bytes that went over the open connections of some processes."""
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
    shares = [meter.read_s() / _RUN_S for meter in meters]
    moved = _read_bytes(set(pids)) - bytes_before
    calls = sum(system.platform.store.counts.calls.values()) - calls
    sizes = [read_rss_mb(pid) for pid in pids]
    print(f"{_INSTANCES} idle instances, {_EXECUTORS} executors, {_WORKERS} workers")
    print(f"share of a core: mean {np.mean(shares):.2%}, most {max(shares):.2%}")
    print(f"resident memory: mean {np.mean(sizes):.0f} MB, most {max(sizes):.0f} MB")
    print(f"bytes for control: {moved / _RUN_S / _INSTANCES / 1000:.1f} KB/s each")
    print(f"store calls: {calls / _RUN_S / _INSTANCES:.2f}/s each")


if __name__ == "__main__":
    run_system(_measure, daemons=_INSTANCES, workers=_WORKERS)
