"""Tickets of queues whose steps only some workers may run.

A service outside knows which. It is asked for one step and some workers at a time, and
takes its time for each of them; its answer doesn't change, but the tickets in it lapse.
"""

import attrs

from trefoilhook.scheduling.models import TaskId

__all__ = ["AdviceRequest", "Grant", "StepName", "TicketBook", "name_step"]

StepName = tuple[str, int, int]
"""Job, occurrence and step."""

_MARGIN_MS = 300.0
"""A ticket isn't used in its last moments, in ms: the order takes a round trip, and one
without an answer is sent again a few times."""


def name_step(task: TaskId) -> StepName:
    """Return the step that a task belongs to."""
    return task.job_id, task.occurrence, task.step


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Asks which of some workers may run a step."""

    step: StepName
    workers: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Grant:
    """The word that a worker may run a step, with the ticket that proves it."""

    worker_id: str
    ticket: str


@attrs.frozen(kw_only=True)
class _Ticket:
    text: str
    until_ms: float


@attrs.define(kw_only=True)
class TicketBook:
    """What is known of who may run which step.

    Parameters
    ----------
    wanted : dict of StepName to None
        Steps for which more workers have to be asked about, in the order they came up.
    """

    wanted: dict[StepName, None] = attrs.Factory(dict)
    _tickets: dict[StepName, dict[str, _Ticket]] = attrs.Factory(dict)
    _refused: dict[StepName, set[str]] = attrs.Factory(dict)

    def find(self, step: StepName, worker_id: str, now_ms: float) -> str | None:
        """Return a ticket that a start can be sent with."""
        ticket = self._tickets.get(step, {}).get(worker_id)
        if ticket is None or now_ms > ticket.until_ms - _MARGIN_MS:
            return None
        return ticket.text

    def is_refused(self, step: StepName, worker_id: str) -> bool:
        """Tell whether a worker is known not to be allowed to run a step."""
        return worker_id in self._refused.get(step, ())

    def take(
        self,
        request: AdviceRequest,
        grants: tuple[Grant, ...],
        *,
        until_ms: float,
    ) -> None:
        """Take in an answer; who is not in it is refused."""
        tickets = self._tickets.setdefault(request.step, {})
        granted = {grant.worker_id for grant in grants}
        for grant in grants:
            tickets[grant.worker_id] = _Ticket(text=grant.ticket, until_ms=until_ms)
        refused = self._refused.setdefault(request.step, set())
        refused.update(set(request.workers) - granted)

    def drop(self, step: StepName, worker_id: str) -> None:
        """Forget a ticket that a worker has turned down."""
        self._tickets.get(step, {}).pop(worker_id, None)

    def forget(self, job_id: str) -> None:
        """Forget a job that has ended."""
        steps = {*self._tickets, *self._refused, *self.wanted}
        for step in [step for step in steps if step[0] == job_id]:
            self._tickets.pop(step, None)
            self._refused.pop(step, None)
            self.wanted.pop(step, None)
