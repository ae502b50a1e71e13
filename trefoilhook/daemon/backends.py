"""Periodically refreshed copy of the instance list of executors and workers."""

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.instances import (
    BackendSnapshot,
    ExecutorRecord,
    InstanceListClient,
    InstanceState,
    WorkerRecord,
)
from trefoilhook.logs import Event, log_event
from trefoilhook.requests import ExecutorTarget

__all__ = ["BackendList"]


@attrs.define(kw_only=True)
class BackendList:
    """Polls the instance list, and keeps the last copy while it is unavailable.

    Parameters
    ----------
    client : InstanceListClient
        Client of the instance list.
    clock : Clock
        Source of the time between polls.
    interval_ms : float
        Time between two polls, in ms.
    """

    client: InstanceListClient
    clock: Clock
    interval_ms: float
    _page: BackendSnapshot = attrs.field(
        factory=lambda: BackendSnapshot(executors=(), workers=(), age_ms=0.0)
    )
    _targets: tuple[ExecutorTarget, ...] = ()
    is_loaded: bool = False

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Poll the list until cancelled; reports as started after the first attempt.

        An instance that served requests earlier than that would refuse them, because it
        knows no executors.
        """
        while True:
            try:
                self._page = await self.client.list_backends()
                self._targets = tuple(map(_describe, self._page.executors))
                self.is_loaded = True
            except TrefoilhookError as error:
                log_event(Event.LIST_DOWN, reason=str(error))
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await self.clock.sleep_ms(self.interval_ms)

    def list_executors(self) -> tuple[ExecutorTarget, ...]:
        """Return the executors of the last copy."""
        return self._targets

    def list_workers(self) -> tuple[WorkerRecord, ...]:
        """Return the workers of the last copy."""
        return self._page.workers


def _describe(record: ExecutorRecord) -> ExecutorTarget:
    return ExecutorTarget(
        executor_id=record.executor_id,
        team=record.team,
        service=record.service,
        host=record.host,
        port=record.port,
        failure_domain=record.failure_domain,
        slots=record.slots,
        is_leaving=record.state is InstanceState.LEAVING,
    )
