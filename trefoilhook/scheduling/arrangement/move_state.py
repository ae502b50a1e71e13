"""Moves of service tasks in progress, and when to look for further ones."""

from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.tickets import StepName

__all__ = ["ServiceMoves"]


@attrs.define(kw_only=True)
class ServiceMoves:
    """Moves of one owner. They are not stored: the next owner needs no record of them.

    Parameters
    ----------
    due_ms : float
        Time of the next search, in ms.
    tasks : set of TaskState
        Tasks that were stopped to be moved and are not at work again.
    retry_ms : dict of StepName to float
        Time from which a step that found no better worker is tried again, in ms.
    """

    due_ms: float = 0.0
    tasks: set[TaskState] = attrs.Factory(set)
    retry_ms: dict[StepName, float] = attrs.Factory(dict)

    def retain(self, names: Iterable[StepName]) -> None:
        """Forget the steps that are not concentrated any more."""
        kept = set(names)
        self.retry_ms = {n: due for n, due in self.retry_ms.items() if n in kept}
