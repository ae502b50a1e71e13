"""Searches series of disruptions for tasks and jobs that wait beside capacity."""

import argparse
import contextlib
import os
import sys
import time

from bench.availability.job_series import build_job_series
from bench.availability.known_faults import KNOWN_FAULTS, put_in
from bench.availability.series import Series, build_series
from bench.availability.shrinking import shrink
from bench.availability.simulation import Outcome, simulate, simulate_jobs


def main() -> int:
    """Simulate series, print the outcomes and return whether a rule is broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--fault", choices=sorted(KNOWN_FAULTS))
    parser.add_argument("--shrink", action="store_true")
    parser.add_argument("--jobs", action="store_true", help="judge batch jobs")
    arguments = parser.parse_args()
    fault = put_in(arguments.fault) if arguments.fault else contextlib.nullcontext()
    broken = 0
    with fault:
        for seed in range(arguments.seed, arguments.seed + arguments.count):
            if arguments.jobs:
                broken += _search_jobs(seed)
            else:
                broken += _search(seed, is_shrunken=arguments.shrink)
    print(f"{broken} of {arguments.count} broken")
    return int(broken > 0)


def _search(seed: int, *, is_shrunken: bool) -> bool:
    series = build_series(seed)
    began_s = time.monotonic()
    outcome = simulate(series)
    took_s = time.monotonic() - began_s
    _print(seed, outcome, f"{series.length_ms / 1000:.0f} s in {took_s:.1f} s")
    if outcome.is_broken and is_shrunken:
        print(shrink(series, _find_break), flush=True)
    return outcome.is_broken


def _search_jobs(seed: int) -> bool:
    series = build_job_series(seed)
    began_s = time.monotonic()
    outcome = simulate_jobs(series)
    took_s = time.monotonic() - began_s
    print(
        f"{seed}: {len(outcome.violations)} broken, longest "
        f"{outcome.longest_ms:.0f} ms ({outcome.longest_early_ms:.0f} before), "
        f"{len(outcome.duplicates)} run twice, {len(outcome.overstarted)} started too "
        f"often, {len(outcome.given_up)} given up, {outcome.failures} failures, "
        f"{outcome.jobs} jobs, {outcome.runs} runs ({outcome.digest}), "
        f"{series.length_ms / 1000:.0f} s in {took_s:.1f} s",
        flush=True,
    )
    for row in (*outcome.violations[:3], *outcome.overstarted, *outcome.given_up):
        print(f"  {row}", flush=True)
    return outcome.is_broken


def _find_break(series: Series) -> float | None:
    outcome = simulate(series)
    if outcome.violations:
        return outcome.violations[0].at_ms
    return series.length_ms if outcome.is_broken else None


def _print(seed: int, outcome: Outcome, times: str) -> None:
    print(
        f"{seed}: {len(outcome.violations)} broken, longest "
        f"{outcome.longest_ms:.0f} ms "
        f"({outcome.longest_disrupted_ms:.0f} in disruptions), "
        f"{len(outcome.duplicates)} run twice, "
        f"{outcome.failures} failures, {outcome.given_up} given up, "
        f"{outcome.runs} runs ({outcome.digest}), {times}",
        flush=True,
    )
    for violation in outcome.violations[:3]:
        print(f"  {violation}", flush=True)


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(
            sys.executable, [sys.executable, "-m", "bench.availability"] + sys.argv[1:]
        )
    sys.exit(main())
