"""Encoding and size of recorded placements in the store."""

import json
from collections import defaultdict
from collections.abc import Iterable

from trefoilhook.scheduling import TaskId

__all__ = ["PAGE_BYTES", "PAGE_ITEMS", "count_pages", "encode_placements"]

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
"""Maximum number of items and of bytes in one answer of the store to a listing."""


def encode_placements(rows: Iterable[tuple[TaskId, int, str]], *, epoch: int) -> bytes:
    """Encode the placements of one write.

    Parameters
    ----------
    rows : iterable of (TaskId, int, str)
        Task, number of its attempt within the epoch, and worker.
    epoch : int
        Epoch of the owner.
    """
    workers: dict[str, int] = {}
    steps: dict[str, list[list[int]]] = defaultdict(list)
    for task, attempt, worker_id in rows:
        number = workers.setdefault(worker_id, len(workers))
        step = f"{task.job_id}.{task.occurrence}.{task.step}"
        steps[step].append([task.index, attempt, number])
    value = {"format": 1, "epoch": epoch, "workers": list(workers), "steps": steps}
    return json.dumps(value, separators=(",", ":")).encode()


def count_pages(items: int, total_bytes: int) -> int:
    """Return the number of answers that the store needs to list the items."""
    return max(1, -(-items // PAGE_ITEMS), -(-total_bytes // PAGE_BYTES))
