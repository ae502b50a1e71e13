"""Runs soaks: ``python -m trefoilhook.soak --seed N --count N --minutes M``."""

import argparse
import sys
import tempfile
from pathlib import Path

import trio

from trefoilhook.soak.core import SoakSettings, run_soak
from trefoilhook.soak.findings import FINDINGS_FOLDER, save_finding

__all__ = ["main"]

_EXIT_VIOLATIONS = 1


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--minutes", type=float, default=0.5, help="faults a seed")
    parser.add_argument("--instances", type=int, default=4)
    parser.add_argument("--workers", type=int, default=6)
    parser.add_argument("--keep", type=Path, help="folder for settings and logs")
    return parser.parse_args()


def main() -> int:
    """Run the soaks and print the result of each.

    Returns
    -------
    int
        0 if no invariant was violated.
    """
    arguments = _parse_arguments()
    failed_runs = 0
    for seed in range(arguments.seed, arguments.seed + arguments.count):
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch)
            if arguments.keep is not None:
                folder = arguments.keep / f"seed-{seed}"
                folder.mkdir(parents=True)
            settings = SoakSettings(
                seed=seed,
                duration_s=arguments.minutes * 60.0,
                instances=arguments.instances,
                workers=arguments.workers,
                folder=folder,
            )
            report = trio.run(run_soak, settings)
            if report.violations:
                archive = save_finding(settings, report, parent=FINDINGS_FOLDER)
                print(f"kept in {archive}", flush=True)
        verdict = "broken" if report.violations else "held"
        print(
            f"seed {seed}: {verdict}; {len(report.faults)} faults, "
            f"{report.submitted} jobs, {report.accepted} accepted, {report.runs} runs",
            flush=True,
        )
        for violation in report.violations[:20]:
            print(f"  {violation}", flush=True)
        failed_runs += bool(report.violations)
    return _EXIT_VIOLATIONS if failed_runs else 0


if __name__ == "__main__":
    sys.exit(main())
