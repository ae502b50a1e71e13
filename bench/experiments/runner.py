"""Parallel execution of runs, with outcomes stored in a file for resumption."""

import concurrent.futures
import json
import pathlib
import subprocess
import tempfile
from collections.abc import Callable, Iterable

import attrs

from bench.experiments.runs import (
    Outcome,
    Run,
    decode_outcome,
    decode_report,
    encode_outcome,
)

__all__ = ["RunError", "Simulator", "run_all", "read_outcomes"]

_RUN_TIMEOUT_S = 1800.0
"""Timeout of a run, in s; the largest days take five minutes."""

_MAX_OUTPUT_CHARS = 2000
"""Number of trailing characters of a failed run's output that are reported."""


class RunError(Exception):
    """A run produced no report."""


@attrs.frozen(kw_only=True)
class Simulator:
    """Simulation program and its options.

    Parameters
    ----------
    program : pathlib.Path
        Path of the program.
    reason : str
        Reason recorded in the program's journal.
    ignores_cpu_time : bool
        Whether processor time is not charged, which makes runs mostly reproducible.
    """

    program: pathlib.Path
    reason: str
    ignores_cpu_time: bool = False

    def execute(self, run: Run) -> Outcome:
        """Execute a run.

        Raises
        ------
        RunError
            If the run produces no report.
        """
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "report.json"
            command = self._build_command(run, report)
            completed = subprocess.run(
                command,
                cwd=run.checkout,
                capture_output=True,
                text=True,
                timeout=_RUN_TIMEOUT_S,
                check=False,
            )
            if not report.exists():
                output = (completed.stdout + completed.stderr)[-_MAX_OUTPUT_CHARS:]
                raise RunError(f"{run}: exit code {completed.returncode}: {output}")
            return decode_report(run, json.loads(report.read_text()))

    def _build_command(self, run: Run, report: pathlib.Path) -> list[str]:
        command = [str(self.program), "run", str(run.site), run.day]
        command += ["--report", str(report), "--jobs", "1", "--why", self.reason]
        if run.seed is not None:
            command += ["--seed", str(run.seed)]
        if run.varied:
            command.append("--vary")
        if self.ignores_cpu_time:
            command.append("--no-cpu")
        return command


def read_outcomes(path: pathlib.Path) -> list[Outcome]:
    """Read the stored outcomes; empty if the file does not exist."""
    if not path.exists():
        return []
    return [decode_outcome(line) for line in path.read_text().splitlines()]


def run_all(
    runs: Iterable[Run],
    *,
    simulator: Simulator,
    path: pathlib.Path,
    processes: int,
    report_progress: Callable[[str], None],
) -> list[Outcome]:
    """Execute the runs that a file does not contain yet, and append their outcomes.

    Parameters
    ----------
    runs : iterable of Run
        Requested runs.
    simulator : Simulator
        Simulator that executes them.
    path : pathlib.Path
        File of the outcomes.
    processes : int
        Maximum number of concurrent runs.
    report_progress : callable
        Called with a line of text for each run.

    Returns
    -------
    list of Outcome
        All outcomes in the file.
    """
    outcomes = read_outcomes(path)
    completed = {(outcome.version, outcome.scenario) for outcome in outcomes}
    missing = [run for run in runs if (run.version, run.scenario) not in completed]
    with (
        path.open("a") as file,
        concurrent.futures.ThreadPoolExecutor(max_workers=processes) as pool,
    ):
        futures = [pool.submit(simulator.execute, run) for run in missing]
        for future in concurrent.futures.as_completed(futures):
            try:
                outcome = future.result()
            except (RunError, subprocess.TimeoutExpired) as error:
                report_progress(f"failed: {error}")
                continue
            outcomes.append(outcome)
            file.write(encode_outcome(outcome) + "\n")
            file.flush()
            report_progress(_describe(outcome))
    return outcomes


def _describe(outcome: Outcome) -> str:
    broken = f", BROKEN {outcome.broken}" if outcome.broken else ""
    return (
        f"{outcome.version} {outcome.deployment} {outcome.day} {outcome.seed}: "
        f"worth {outcome.worth:.3f}, failed {outcome.failed:.3f}{broken}"
    )
