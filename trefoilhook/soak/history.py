"""What ran on the workers of a soak and what clients were told, as a file of lines."""

import json
from collections.abc import Iterable, Mapping
from pathlib import Path

import attrs

from trefoilhook.soak.ledger import Ledger
from trefoilhook.standins.platform_worker import TaskRecord

__all__ = ["HISTORY_FILE", "write_history"]

HISTORY_FILE = "history.jsonl"


def write_history(
    folder: Path, ledger: Ledger, runs: Mapping[str, Iterable[TaskRecord]]
) -> None:
    """Write each submission and each run as a line of JSON.

    Parameters
    ----------
    folder : Path
        Where the file goes.
    ledger : Ledger
        What clients sent and were told.
    runs : mapping of str to iterable of TaskRecord
        What ran, by worker.
    """
    rows: list[dict[str, object]] = [
        {**attrs.asdict(submission), "outcome": submission.outcome.value}
        for submission in ledger.submissions.values()
    ]
    rows += [
        {"worker": worker, **attrs.asdict(run)}
        for worker, records in runs.items()
        for run in records
    ]
    text = "".join(json.dumps(row) + "\n" for row in rows)
    (folder / HISTORY_FILE).write_text(text, encoding="utf-8")
