"""Playing of many days, some at a time, into a file that a later call goes on from."""

import concurrent.futures
import json
import pathlib
import subprocess
import tempfile
from collections.abc import Callable, Iterable

import attrs

from bench.experiments.plays import (
    Outcome,
    Play,
    decode_outcome,
    decode_report,
    encode_outcome,
)

__all__ = ["PlayError", "Player", "play_all", "read_outcomes"]

_LONGEST_PLAY_S = 1800.0
"""A play that takes longer is given up, in s: the largest days take five minutes."""

_KEPT_OUTPUT = 2000
"""Characters of a failed play's output that are shown."""


class PlayError(Exception):
    """A play brought no report."""


@attrs.frozen(kw_only=True)
class Player:
    """The program that plays days, and how it is called.

    Parameters
    ----------
    program : pathlib.Path
        The program.
    why : str
        Reason that goes into its journal.
    is_processor_free : bool
        Whether processor time costs nothing: plays then mostly repeat.
    """

    program: pathlib.Path
    why: str
    is_processor_free: bool = False

    def play(self, play: Play) -> Outcome:
        """Play a day.

        Raises
        ------
        PlayError
            If it brings no report.
        """
        with tempfile.TemporaryDirectory() as folder:
            report = pathlib.Path(folder) / "report.json"
            command = self._build_command(play, report)
            done = subprocess.run(
                command,
                cwd=play.checkout,
                capture_output=True,
                text=True,
                timeout=_LONGEST_PLAY_S,
                check=False,
            )
            if not report.exists():
                output = (done.stdout + done.stderr)[-_KEPT_OUTPUT:]
                raise PlayError(f"{play}: exit code {done.returncode}: {output}")
            return decode_report(play, json.loads(report.read_text()))

    def _build_command(self, play: Play, report: pathlib.Path) -> list[str]:
        command = [str(self.program), "run", str(play.site), play.day]
        command += ["--report", str(report), "--jobs", "1", "--why", self.why]
        if play.seed is not None:
            command += ["--seed", str(play.seed)]
        if play.varied:
            command.append("--vary")
        if self.is_processor_free:
            command.append("--no-cpu")
        return command


def read_outcomes(path: pathlib.Path) -> list[Outcome]:
    """Read the outcomes that a file holds; none where there is no file."""
    if not path.exists():
        return []
    return [decode_outcome(line) for line in path.read_text().splitlines()]


def play_all(
    plays: Iterable[Play],
    *,
    player: Player,
    path: pathlib.Path,
    processes: int,
    tell: Callable[[str], None],
) -> list[Outcome]:
    """Play what a file doesn't hold yet, and append it there.

    Parameters
    ----------
    plays : iterable of Play
        What is to be played.
    player : Player
        Who plays it.
    path : pathlib.Path
        The file.
    processes : int
        Plays at a time.
    tell : callable
        Told a line for each play.

    Returns
    -------
    list of Outcome
        All that the file holds then.
    """
    outcomes = read_outcomes(path)
    known = {(outcome.version, outcome.setting) for outcome in outcomes}
    missing = [play for play in plays if (play.version, play.setting) not in known]
    with (
        path.open("a") as file,
        concurrent.futures.ThreadPoolExecutor(max_workers=processes) as pool,
    ):
        futures = [pool.submit(player.play, play) for play in missing]
        for future in concurrent.futures.as_completed(futures):
            try:
                outcome = future.result()
            except (PlayError, subprocess.TimeoutExpired) as error:
                tell(f"failed: {error}")
                continue
            outcomes.append(outcome)
            file.write(encode_outcome(outcome) + "\n")
            file.flush()
            tell(_describe(outcome))
    return outcomes


def _describe(outcome: Outcome) -> str:
    broken = f", BROKEN {outcome.broken}" if outcome.broken else ""
    return (
        f"{outcome.version} {outcome.deployment} {outcome.day} {outcome.seed}: "
        f"worth {outcome.worth:.3f}, failed {outcome.failed:.3f}{broken}"
    )
