"""Tickets for queues whose steps may run on certain workers only.

An external service decides which workers may run a step. Each request names one step
and several workers, and takes a time that grows with their number. Decisions are
permanent, but the tickets expire.
"""

import attrs

from trefoilhook.scheduling.models import TaskId

__all__ = ["AdviceRequest", "Grant", "StepName", "TicketCache", "name_step"]

StepName = tuple[str, int, int]
"""Job id, occurrence and step index."""

_EXPIRY_MARGIN_MS = 300.0
"""A ticket is not used for this long before it expires: the order takes a round trip,
and an unanswered one is repeated a few times."""


def name_step(task: TaskId) -> StepName:
    """Return the name of the step that a task belongs to."""
    return task.job_id, task.occurrence, task.step


@attrs.frozen(kw_only=True)
class AdviceRequest:
    """Request to the advice service: which of some workers may run a step."""

    step: StepName
    workers: tuple[str, ...]


@attrs.frozen(kw_only=True)
class Grant:
    """Permission for a worker to run a step, with the ticket that proves it."""

    worker_id: str
    ticket: str


@attrs.frozen(kw_only=True)
class _Ticket:
    text: str
    until_ms: float


@attrs.define(kw_only=True)
class TicketCache:
    """Known decisions of the advice service.

    Parameters
    ----------
    wanted : dict of StepName to None
        Steps that need further workers, in the order of the requests.
    """

    wanted: dict[StepName, None] = attrs.Factory(dict)
    _tickets: dict[StepName, dict[str, _Ticket]] = attrs.Factory(dict)
    _refused: dict[StepName, set[str]] = attrs.Factory(dict)

    def find(self, step: StepName, worker_id: str, now_ms: float) -> str | None:
        """Return a valid ticket for starting a step on a worker, or None."""
        ticket = self._tickets.get(step, {}).get(worker_id)
        if ticket is None or now_ms > ticket.until_ms - _EXPIRY_MARGIN_MS:
            return None
        return ticket.text

    def is_refused(self, step: StepName, worker_id: str) -> bool:
        """Return whether a worker is known not to be permitted to run a step."""
        return worker_id in self._refused.get(step, ())

    def record_answer(
        self,
        request: AdviceRequest,
        grants: tuple[Grant, ...],
        *,
        until_ms: float,
    ) -> None:
        """Record an answer; workers without a grant are refused."""
        tickets = self._tickets.setdefault(request.step, {})
        granted = {grant.worker_id for grant in grants}
        for grant in grants:
            tickets[grant.worker_id] = _Ticket(text=grant.ticket, until_ms=until_ms)
        refused = self._refused.setdefault(request.step, set())
        refused.update(set(request.workers) - granted)

    def drop(self, step: StepName, worker_id: str) -> None:
        """Remove a ticket that a worker has rejected."""
        self._tickets.get(step, {}).pop(worker_id, None)

    def drop_worker(self, worker_id: str) -> None:
        """Remove all decisions on a worker whose process has restarted."""
        for tickets in self._tickets.values():
            tickets.pop(worker_id, None)
        for refused in self._refused.values():
            refused.discard(worker_id)

    def forget(self, job_id: str) -> None:
        """Remove all entries of an ended job."""
        steps = {*self._tickets, *self._refused, *self.wanted}
        for step in [step for step in steps if step[0] == job_id]:
            self._tickets.pop(step, None)
            self._refused.pop(step, None)
            self.wanted.pop(step, None)
