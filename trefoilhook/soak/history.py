"""Writes the submissions and task runs of a soak to a JSON Lines file."""

import json
from collections.abc import Iterable, Mapping
from pathlib import Path

import attrs

from trefoilhook.soak.submissions import SubmissionLog
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["HISTORY_FILE", "write_history"]

HISTORY_FILE = "history.jsonl"


def write_history(
    folder: Path,
    submission_log: SubmissionLog,
    runs: Mapping[str, Iterable[TaskRecord]],
) -> None:
    """Write each submission and each task run as a line of JSON.

    Parameters
    ----------
    folder : Path
        Folder of the file.
    submission_log : SubmissionLog
        Submissions and the responses to them.
    runs : mapping of str to iterable of TaskRecord
        Task runs, by worker.
    """
    rows: list[dict[str, object]] = [
        {**attrs.asdict(submission), "outcome": submission.outcome.value}
        for submission in submission_log.submissions.values()
    ]
    rows += [
        {"worker": worker, **attrs.asdict(run)}
        for worker, records in runs.items()
        for run in records
    ]
    text = "".join(json.dumps(row) + "\n" for row in rows)
    (folder / HISTORY_FILE).write_text(text, encoding="utf-8")
