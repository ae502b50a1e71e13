"""Executor stand-ins in a separate process, for the benchmarks.

Run as ``python -m bench.executors COUNT SERVICE_TIME_MS``. The first line on standard
output is a JSON list of ports. The process exits when its standard input is closed.
"""

import json
import sys

import trio

from trefoilhook.clock import build_system_clock
from trefoilhook.standins import ExecutorSettings, ExecutorStandin


async def _serve(count: int, service_time_ms: float) -> None:
    clock = build_system_clock()
    async with trio.open_nursery() as nursery:
        ports = []
        for number in range(count):
            settings = ExecutorSettings(
                executor_id=f"executor-{number}", service_time_ms=service_time_ms
            )
            standin = ExecutorStandin(clock=clock, settings=settings)
            ports.append(await nursery.start(standin.run))
        print(json.dumps(ports), flush=True)
        await trio.lowlevel.wait_readable(sys.stdin.fileno())
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(_serve, int(sys.argv[1]), float(sys.argv[2]))
