"""The instance list as last read, for executors and workers."""

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.exceptions import TrefoilhookError
from trefoilhook.instances import (
    BackendPage,
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
    """Follows the instance list; the last one read stays while it is away.

    Parameters
    ----------
    client : InstanceListClient
        Adapter to the list.
    clock : Clock
        Time.
    interval_ms : float
        Time between two readings, in ms.
    """

    client: InstanceListClient
    clock: Clock
    interval_ms: float
    _page: BackendPage = attrs.field(
        factory=lambda: BackendPage(executors=(), workers=(), age_ms=0.0)
    )
    _targets: tuple[ExecutorTarget, ...] = ()
    is_read: bool = False

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Read the list again and again until cancelled; reports after the first try.

        An instance that served before would refuse its callers for want of executors.
        """
        while True:
            try:
                self._page = await self.client.list_backends()
                self._targets = tuple(map(_describe, self._page.executors))
                self.is_read = True
            except TrefoilhookError as error:
                log_event(Event.LIST_DOWN, reason=str(error))
            task_status.started()
            task_status = trio.TASK_STATUS_IGNORED
            await self.clock.sleep_ms(self.interval_ms)

    def list_targets(self) -> tuple[ExecutorTarget, ...]:
        """Return the executors."""
        return self._targets

    def list_workers(self) -> tuple[WorkerRecord, ...]:
        """Return the workers."""
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
