"""What is kept of a soak that broke a promise, so that it can be traced.

A soak repeats its script but not the timing of its processes: what was broken once may
not come again, and then the logs of that one play are all that there is.
"""

import shutil
from collections.abc import Iterable
from pathlib import Path

from trefoilhook.soak.core import SoakReport, SoakSettings
from trefoilhook.soak.history import HISTORY_FILE

__all__ = ["FINDINGS_FOLDER", "describe_finding", "keep_finding"]

FINDINGS_FOLDER = Path("build") / "soak"
"""Where findings are kept unless told otherwise, from the root of the repository."""

_VIOLATIONS_FILE = "violations.txt"

_MOST_LINES = 150
"""Lines of runs and logs in a description: the last thousand of a test's output may be
all that is kept of it, and the story of one job takes some twenty."""

_JOB_ID_LENGTH = 16


def keep_finding(settings: SoakSettings, report: SoakReport, *, into: Path) -> Path:
    """Keep all that a soak left behind, and return the folder where that is.

    Parameters
    ----------
    settings : SoakSettings
        What was soaked; its folder is copied.
    report : SoakReport
        What was found.
    into : Path
        Parent of the new folder; earlier findings there stay.
    """
    into.mkdir(parents=True, exist_ok=True)
    number = 1
    while (into / f"seed-{settings.seed}-{number}").exists():
        number += 1
    kept = into / f"seed-{settings.seed}-{number}"
    shutil.copytree(settings.folder, kept)
    text = describe_finding(settings, report)
    (kept / _VIOLATIONS_FILE).write_text(text, encoding="utf-8")
    return kept


def describe_finding(settings: SoakSettings, report: SoakReport) -> str:
    """Tell what was broken, the faults before it, and what is known of its jobs."""
    lines = [
        f"seed {settings.seed}, {settings.duration_s} s of faults, "
        f"{settings.instances} instances, {settings.workers} workers"
    ]
    lines += [f"broken: {violation}" for violation in report.violations]
    lines += [f"at {fault.at_ms:.0f} ms: {fault.name}" for fault in report.faults]
    jobs = _find_jobs(report.violations)
    lines += _list_lines(settings.folder, jobs)[:_MOST_LINES]
    return "\n".join(lines)


def _find_jobs(violations: Iterable[str]) -> set[str]:
    """Return the ids of the jobs that violations name."""
    words = (word for text in violations for word in text.replace(".", " ").split())
    return {
        word
        for word in words
        if len(word) == _JOB_ID_LENGTH and not word.strip("0123456789abcdef")
    }


def _list_lines(folder: Path, jobs: set[str]) -> list[str]:
    """Return the lines of a soak's files that name one of some jobs."""
    files = [folder / HISTORY_FILE, *sorted(folder.glob("*/log.jsonl"))]
    return [
        f"{path.relative_to(folder)}: {line}"
        for path in files
        if path.exists()
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        if any(job in line for job in jobs)
    ]
