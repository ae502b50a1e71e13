"""Searches series of disruptions for service tasks that wait beside capacity."""

import argparse
import os
import sys
import time

from bench.availability.series import build_series, simulate


def main() -> None:
    """Simulate series and print those that break the rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    arguments = parser.parse_args()
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        series = build_series(seed)
        began_s = time.monotonic()
        outcome = simulate(series)
        print(
            f"{seed}: {len(outcome.violations)} broken, longest "
            f"{outcome.longest_ms:.0f} ms, {outcome.runs} runs, "
            f"{series.length_ms / 1000:.0f} s in {time.monotonic() - began_s:.1f} s",
            flush=True,
        )
        for violation in outcome.violations[:3]:
            print(f"  {violation}")


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":
        os.environ["PYTHONHASHSEED"] = "0"
        os.execv(
            sys.executable, [sys.executable, "-m", "bench.availability"] + sys.argv[1:]
        )
    main()
