"""Tasks held until it is known whether a previous owner started them."""

from collections.abc import Collection

import attrs

from trefoilhook.scheduling.job_state import TaskState

__all__ = ["HoldSummary", "TakeoverHolds"]


@attrs.frozen(kw_only=True)
class HoldSummary:
    """Statistics of the tasks held by a takeover, excluding those found running.

    Parameters
    ----------
    tasks : int
        Number of tasks.
    total_ms, longest_ms : float
        Sum and maximum of their hold times, in ms.
    """

    tasks: int
    total_ms: float
    longest_ms: float


@attrs.define(kw_only=True)
class TakeoverHolds:
    """Tracks the tasks held by a takeover; updated in each assignment round."""

    _since_ms: dict[TaskState, float] = attrs.Factory(dict)
    _released: int = 0
    _released_ms: float = 0.0
    _longest_ms: float = 0.0

    @property
    def count(self) -> int:
        """Number of tasks that are currently held."""
        return len(self._since_ms)

    def hold(self, task: TaskState, now_ms: float) -> None:
        """Record that a task is held."""
        self._since_ms.setdefault(task, now_ms)

    def release(self, task: TaskState, now_ms: float) -> None:
        """Record that a task is no longer held, if it was."""
        since_ms = self._since_ms.pop(task, None)
        if since_ms is None:
            return
        self._released += 1
        self._released_ms += now_ms - since_ms
        self._longest_ms = max(self._longest_ms, now_ms - since_ms)

    def retain(self, waiting: Collection[TaskState]) -> None:
        """Discard tasks not in ``waiting``: they are running or have ended."""
        for task in [task for task in self._since_ms if task not in waiting]:
            del self._since_ms[task]

    def summarize(self, now_ms: float) -> HoldSummary:
        """Return the number of tasks held so far and their hold times."""
        held_ms = [now_ms - since_ms for since_ms in self._since_ms.values()]
        return HoldSummary(
            tasks=self._released + len(held_ms),
            total_ms=self._released_ms + sum(held_ms),
            longest_ms=max([self._longest_ms, *held_ms]),
        )

    def clear(self) -> None:
        """Remove all tasks, at the end of the ownership."""
        self._since_ms.clear()
