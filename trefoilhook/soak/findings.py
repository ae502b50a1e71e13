"""Archives the files of soak runs that violated an invariant.

A seed reproduces the jobs and faults but not the timing of the processes. A violation
may not recur, so the logs of the run in which it occurred must be kept.
"""

import shutil
from collections.abc import Iterable
from pathlib import Path

from trefoilhook.soak.core import SoakReport, SoakSettings
from trefoilhook.soak.history import HISTORY_FILE
from trefoilhook.soak.logs import LOG_FILE

__all__ = ["FINDINGS_FOLDER", "describe_finding", "save_finding"]

FINDINGS_FOLDER = Path("build") / "soak"
"""Default folder for findings, relative to the root of the repository."""

_VIOLATIONS_FILE = "violations.txt"

_MAX_LINES = 150
"""Maximum number of run and log lines in a description. CI may keep only the last 1000
lines of a test's output; one job takes about 20 lines."""

_JOB_ID_LENGTH = 16


def save_finding(settings: SoakSettings, report: SoakReport, *, parent: Path) -> Path:
    """Copy the files of a soak run to a new folder, and return that folder.

    Parameters
    ----------
    settings : SoakSettings
        Settings of the run; its folder is copied.
    report : SoakReport
        Report of the run.
    parent : Path
        Parent of the new folder; earlier findings in it are kept.
    """
    parent.mkdir(parents=True, exist_ok=True)
    number = 1
    while (parent / f"seed-{settings.seed}-{number}").exists():
        number += 1
    target = parent / f"seed-{settings.seed}-{number}"
    shutil.copytree(settings.folder, target)
    text = describe_finding(settings, report)
    (target / _VIOLATIONS_FILE).write_text(text, encoding="utf-8")
    return target


def describe_finding(settings: SoakSettings, report: SoakReport) -> str:
    """Describe the violations, the injected faults, and the affected jobs."""
    lines = [
        f"seed {settings.seed}, {settings.duration_s} s of faults, "
        f"{settings.instances} instances, {settings.workers} workers"
    ]
    lines += [f"broken: {violation}" for violation in report.violations]
    lines += [f"at {fault.at_ms:.0f} ms: {fault.name}" for fault in report.faults]
    job_ids = _find_job_ids(report.violations)
    lines += _collect_lines(settings.folder, job_ids)[:_MAX_LINES]
    return "\n".join(lines)


def _find_job_ids(violations: Iterable[str]) -> set[str]:
    """Return the ids of the jobs mentioned in violations."""
    words = (word for text in violations for word in text.replace(".", " ").split())
    return {
        word
        for word in words
        if len(word) == _JOB_ID_LENGTH and not word.strip("0123456789abcdef")
    }


def _collect_lines(folder: Path, job_ids: set[str]) -> list[str]:
    """Return the lines of a soak's files that mention one of the jobs."""
    files = [folder / HISTORY_FILE, *sorted(folder.glob(f"*/{LOG_FILE}"))]
    return [
        f"{path.relative_to(folder)}: {line}"
        for path in files
        if path.exists()
        for line in path.read_text(encoding="utf-8", errors="replace").splitlines()
        if any(job in line for job in job_ids)
    ]
