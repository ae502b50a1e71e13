"""State of the moves of service tasks."""

from collections.abc import Iterable

import attrs

from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.tickets import StepName

__all__ = ["ServiceMoves"]


@attrs.define(kw_only=True)
class ServiceMoves:
    """Moves in progress under one owner, which are not persisted.

    Parameters
    ----------
    due_ms : float
        Time of the next search, in ms.
    tasks : set of TaskState
        Tasks that were stopped to be moved and are not at work yet.
    retry_ms : dict of StepName to float
        Time from which a step without a better worker is tried again, in ms.
    """

    due_ms: float = 0.0
    tasks: set[TaskState] = attrs.Factory(set)
    retry_ms: dict[StepName, float] = attrs.Factory(dict)

    def retain(self, names: Iterable[StepName]) -> None:
        """Remove the retry times of all steps except the named ones."""
        kept = set(names)
        self.retry_ms = {n: due for n, due in self.retry_ms.items() if n in kept}
