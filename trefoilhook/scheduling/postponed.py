"""Filler steps that a round does not reach, because too many before it are infeasible.

They are tried in turn: if each round began with the same steps, the others would wait
for as long as these are infeasible.
"""

import attrs

from trefoilhook.scheduling.job_state import TaskState
from trefoilhook.scheduling.tickets import StepName, name_step

__all__ = ["PostponedSteps"]


@attrs.define(kw_only=True)
class PostponedSteps:
    """Order in which steps that were not reached by rank are tried."""

    _tried: dict[StepName, int] = attrs.field(factory=dict, init=False)
    _rounds: int = attrs.field(default=0, init=False)

    def sort(self, steps: list[list[TaskState]]) -> list[list[TaskState]]:
        """Return steps by their last try, those that were never tried first.

        Parameters
        ----------
        steps : list of list of TaskState
            Waiting tasks by step, in order of rank.
        """
        return sorted(
            steps, key=lambda tasks: self._tried.get(name_step(tasks[0].task), 0)
        )

    def record_round(
        self, steps: list[list[TaskState]], left: list[list[TaskState]]
    ) -> None:
        """Record which of the steps were tried in a round: all but those left."""
        self._rounds += 1
        names = {name_step(tasks[0].task) for tasks in steps}
        tried = names - {name_step(tasks[0].task) for tasks in left}
        self._tried = {
            name: number for name, number in self._tried.items() if name in names
        }
        self._tried.update(dict.fromkeys(tried, self._rounds))
