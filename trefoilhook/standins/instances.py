"""Stand-in for the platform's instance list."""

from collections import deque
from collections.abc import Iterable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.instances import (
    BackendPage,
    ExecutorRecord,
    InstanceState,
    WorkerRecord,
)
from trefoilhook.standins.core import (
    FaultyServer,
    RefusalError,
    decode_body,
    encode_answer,
)
from trefoilhook.standins.faults import FaultSwitch

__all__ = ["InstanceListStandin", "InstanceLists"]


@attrs.frozen(kw_only=True)
class InstanceLists:
    """The truth that the list tells with a lag.

    Parameters
    ----------
    executors : tuple of ExecutorRecord, optional
        All executors.
    workers : tuple of WorkerRecord, optional
        All workers.
    """

    executors: tuple[ExecutorRecord, ...] = ()
    workers: tuple[WorkerRecord, ...] = ()


@attrs.frozen(kw_only=True)
class _StateOrder:
    instance_id: str
    state: InstanceState


@attrs.frozen(kw_only=True)
class _LagOrder:
    lag_ms: float


@attrs.frozen(kw_only=True)
class _Version:
    since_ms: float
    lists: InstanceLists


def name_list_call(request: HttpRequest) -> str:
    """Name the kind of a call to the instance list."""
    return request.path.removeprefix("/v1/")


class InstanceListStandin:
    """An instance list that lags.

    Parameters
    ----------
    clock : Clock
        Its time.
    lag_ms : float, optional
        How far behind the truth it is, in ms.
    lists : InstanceLists, optional
        The truth at the start, which it has always told.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 takes a free one.
    control_port : int, optional
        Port for orders; 0 takes a free one.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        lag_ms: float = 0.0,
        lists: InstanceLists | None = None,
        host: str = "127.0.0.1",
        port: int = 0,
        control_port: int = 0,
    ) -> None:
        self._clock = clock
        first = _Version(since_ms=float("-inf"), lists=lists or InstanceLists())
        self._versions = deque([first])
        self.lag_ms = lag_ms
        self.server = FaultyServer(
            handler=self._handle,
            name_call=name_list_call,
            clock=clock,
            host=host,
            port=port,
            control=self._obey,
            control_port=control_port,
        )

    @property
    def faults(self) -> FaultSwitch:
        """Switch of the faults that every stand-in knows."""
        return self.server.faults

    @property
    def lists(self) -> InstanceLists:
        """The truth now."""
        return self._versions[-1].lists

    def change(self, lists: InstanceLists) -> None:
        """Let another truth hold from now on."""
        since_ms = self._clock.monotonic_ms()
        self._versions.append(_Version(since_ms=since_ms, lists=lists))

    def set_state(self, instance_id: str, state: InstanceState) -> None:
        """Change the state of one executor or worker."""
        self.change(
            InstanceLists(
                executors=_change_executor(self.lists.executors, instance_id, state),
                workers=_change_worker(self.lists.workers, instance_id, state),
            )
        )

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; reports the port for calls."""
        await self.server.run(task_status=task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if (request.method, request.path) != ("GET", "/v1/instances"):
            raise RefusalError(status=404, error="not_found")
        lists = self._find_told()
        page = BackendPage(
            executors=lists.executors, workers=lists.workers, age_ms=self.lag_ms
        )
        return encode_answer(page)

    def _find_told(self) -> InstanceLists:
        as_of_ms = self._clock.monotonic_ms() - self.lag_ms
        told = self._versions[0]
        for version in self._versions:
            if version.since_ms <= as_of_ms:
                told = version
        return told.lists

    def _obey(self, request: HttpRequest) -> HttpResponse:
        order = (request.method, request.path)
        if order == ("PUT", "/lists"):
            self.change(decode_body(request, InstanceLists))
        elif order == ("PUT", "/state"):
            change = decode_body(request, _StateOrder)
            self.set_state(change.instance_id, change.state)
        elif order == ("PUT", "/lag"):
            self.lag_ms = decode_body(request, _LagOrder).lag_ms
        elif order != ("GET", "/lists"):
            raise RefusalError(status=404, error="not_found")
        return encode_answer(self.lists)


def _change_executor(
    records: Iterable[ExecutorRecord], instance_id: str, state: InstanceState
) -> tuple[ExecutorRecord, ...]:
    return tuple(
        attrs.evolve(record, state=state)
        if record.executor_id == instance_id
        else record
        for record in records
    )


def _change_worker(
    records: Iterable[WorkerRecord], instance_id: str, state: InstanceState
) -> tuple[WorkerRecord, ...]:
    return tuple(
        attrs.evolve(record, state=state) if record.worker_id == instance_id else record
        for record in records
    )
