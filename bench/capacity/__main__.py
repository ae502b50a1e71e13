"""Measure the cost models and write them and their projections to ``docs/CAPACITY.md``.

Run from the root of the repository: ``python -m bench.capacity``. It takes about three
minutes, on at most two processors at once.
"""

import os
import pathlib
import platform
import time

from bench.capacity.cluster import measure_cluster, measure_tables
from bench.capacity.durable import measure_journal, measure_runner
from bench.capacity.fit import Slopes
from bench.capacity.links import measure_list, measure_workers
from bench.capacity.memory import measure_configuration, measure_keys
from bench.capacity.mesh import measure_calls, measure_inner
from bench.capacity.page import rewrite_page
from bench.capacity.running import rewrite_running
from bench.capacity.shard import measure_registry
from trefoilhook.logs import configure_logs

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "CAPACITY.md"
MEASUREMENTS = (
    measure_list,
    measure_inner,
    measure_calls,
    measure_workers,
    measure_tables,
    measure_cluster,
    measure_configuration,
    measure_keys,
    measure_registry,
    measure_journal,
    measure_runner,
)


def main() -> None:
    """Run all measurements and rewrite the page."""
    configure_logs(level="CRITICAL")
    slopes = Slopes()
    started_s = time.monotonic()
    load_before = os.getloadavg()[0]
    for measure in MEASUREMENTS:
        slopes.add(*measure())
        print(f"{measure.__name__}: {time.monotonic() - started_s:.0f} s")
    note = (
        f"Python {platform.python_version()}, {os.cpu_count()} processors; load average"
        f" {load_before:.1f} before and {os.getloadavg()[0]:.1f} after the run of"
        f" {time.monotonic() - started_s:.0f} s (it keeps at most two busy itself)."
    )
    rewrite_page(PAGE, slopes, note=note)
    rewrite_running(PAGE)


if __name__ == "__main__":
    main()
