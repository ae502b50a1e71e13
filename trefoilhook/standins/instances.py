"""Stand-in for the platform's instance list."""

from collections import deque
from collections.abc import Iterable

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.instances import (
    BackendSnapshot,
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
    """Current instances, which the instance list reports with a lag.

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


def get_list_call_kind(request: HttpRequest) -> str:
    """Return the kind of a call to the instance list."""
    return request.path.removeprefix("/v1/")


class InstanceListStandin:
    """Instance list that reports changes with a lag.

    Parameters
    ----------
    clock : Clock
        Clock for the lag.
    lag_ms : float, optional
        Delay until a change is reported, in ms.
    lists : InstanceLists, optional
        Initial instances, reported without a lag.
    host : str, optional
        Address to listen on.
    port : int, optional
        Port for calls; 0 selects a free one.
    control_port : int, optional
        Port for control requests; 0 selects a free one.
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
            get_call_kind=get_list_call_kind,
            clock=clock,
            host=host,
            port=port,
            control=self._handle_control,
            control_port=control_port,
        )

    @property
    def faults(self) -> FaultSwitch:
        """Faults common to all stand-ins."""
        return self.server.faults

    @property
    def lists(self) -> InstanceLists:
        """Current instances."""
        return self._versions[-1].lists

    def set_lists(self, lists: InstanceLists) -> None:
        """Replace the current instances."""
        since_ms = self._clock.monotonic_ms()
        self._versions.append(_Version(since_ms=since_ms, lists=lists))

    def set_state(self, instance_id: str, state: InstanceState) -> None:
        """Change the state of one executor or worker."""
        self.set_lists(
            InstanceLists(
                executors=_set_executor_state(self.lists.executors, instance_id, state),
                workers=_set_worker_state(self.lists.workers, instance_id, state),
            )
        )

    async def run(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until cancelled; the start value is the port for calls."""
        await self.server.run(task_status=task_status)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        if (request.method, request.path) != ("GET", "/v1/instances"):
            raise RefusalError(status=404, error="not_found")
        lists = self._find_reported_lists()
        page = BackendSnapshot(
            executors=lists.executors, workers=lists.workers, age_ms=self.lag_ms
        )
        return encode_answer(page)

    def _find_reported_lists(self) -> InstanceLists:
        as_of_ms = self._clock.monotonic_ms() - self.lag_ms
        reported = self._versions[0]
        for version in self._versions:
            if version.since_ms <= as_of_ms:
                reported = version
        return reported.lists

    def _handle_control(self, request: HttpRequest) -> HttpResponse:
        route = (request.method, request.path)
        if route == ("PUT", "/lists"):
            self.set_lists(decode_body(request, InstanceLists))
        elif route == ("PUT", "/state"):
            change = decode_body(request, _StateOrder)
            self.set_state(change.instance_id, change.state)
        elif route == ("PUT", "/lag"):
            self.lag_ms = decode_body(request, _LagOrder).lag_ms
        elif route != ("GET", "/lists"):
            raise RefusalError(status=404, error="not_found")
        return encode_answer(self.lists)


def _set_executor_state(
    records: Iterable[ExecutorRecord], instance_id: str, state: InstanceState
) -> tuple[ExecutorRecord, ...]:
    return tuple(
        attrs.evolve(record, state=state)
        if record.executor_id == instance_id
        else record
        for record in records
    )


def _set_worker_state(
    records: Iterable[WorkerRecord], instance_id: str, state: InstanceState
) -> tuple[WorkerRecord, ...]:
    return tuple(
        attrs.evolve(record, state=state) if record.worker_id == instance_id else record
        for record in records
    )
