"""A worker that sends heartbeats and may leave, on virtual time."""

from collections.abc import Callable
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.standins.platform_store import PlatformStore
from trefoilhook.standins.platform_worker import (
    PlatformWorker,
    TaskRecord,
    WorkerFault,
)

__all__ = ["LATENCY_LIMIT_MS", "Behaviour", "VirtualWorker"]

LATENCY_LIMIT_MS = 18.0
"""Limit on the tail latency of service tasks, in ms."""

_SLACK = 2.0
_MIN_SLACK = 0.5
"""Slack of a service task without fillers, and its minimum."""


_TICK_MS = 20.0
_HEARTBEAT_MS = 1500.0
_MISSED_HEARTBEATS = 3
_EXIT_MS = 100.0
"""Time between the last write of the entry of a worker that leaves and its end, in ms.
"""


@attrs.define(kw_only=True)
class Behaviour:
    """How tasks disturb others and their worker.

    Parameters
    ----------
    batch_steps : set of str
        Steps whose tasks report their progress, by job and step.
    filler_cpu : dict of str to int
        Processors that a filler uses at full speed, by job and step, in thousandths of
        a core.
    cost : float
        Slack that fillers on all processors of a worker cost a service task.
    harm_delays_ms : dict of str to float
        Time from a start until the task ends its worker, by task, in ms.
    end_worker : callable
        Ends a worker because of a task.
    """

    batch_steps: set[str] = attrs.Factory(set)
    filler_cpu: dict[str, int] = attrs.Factory(dict)
    cost: float = 0.0
    harm_delays_ms: dict[str, float] = attrs.Factory(dict)
    end_worker: Callable[["VirtualWorker", str], None] = attrs.field(
        default=lambda worker, task: None
    )


class VirtualWorker(PlatformWorker):
    """Worker whose entry in the store is kept by heartbeats.

    Parameters
    ----------
    worker_id, clock
        As for `PlatformWorker`.
    address : (str, int)
        Address in its entry.
    store : PlatformStore
        Store of its entry.
    find_task_ms : callable
        Returns the run time of a task, in ms.
    capacity : dict of str to int
        Capacity in its entry.
    labels : tuple of str
        Labels in its entry.
    behaviour : Behaviour, optional
        How tasks disturb others and their worker.

    Attributes
    ----------
    lapsed_ends : set of (str, int)
        Runs, by task and attempt, whose ends had not been acknowledged when the leases
        expired: users don't count an acknowledgement after that.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        clock: Clock,
        address: tuple[str, int],
        store: PlatformStore,
        find_task_ms: Callable[[str], float],
        capacity: dict[str, int],
        labels: tuple[str, ...],
        behaviour: Behaviour | None = None,
    ) -> None:
        super().__init__(worker_id=worker_id, clock=clock, task_ms=0.0)
        self.address = address
        self.capacity = capacity
        self.labels = labels
        self.is_draining = False
        self.reaches_store = True
        self.has_left = False
        self._store = store
        self._find_task_ms = find_task_ms
        self._behaviour = behaviour if behaviour is not None else Behaviour()
        self._paces: dict[tuple[str, int], int] = {}
        self._worked_ms: dict[tuple[str, int], float] = {}
        self._advanced_ms = clock.monotonic_ms()
        self.lapsed_ends: set[tuple[str, int]] = set()
        self._key = f"servers/{worker_id}"

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of an instance."""
        return await self._handle_request(request)

    def list_open(self) -> list[TaskRecord]:
        """Return the runs that have not ended."""
        return self._list_running()

    def write_entry(self) -> None:
        """Write its entry."""
        entry = self.describe("s", port=self.address[1])
        entry["address"] = f"{self.address[0]}:{self.address[1]}"
        entry["labels"] = list(self.labels)
        entry["state"] = "draining" if self.is_draining else "ready"
        self._store.write(self._key, entry)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._send_heartbeats)
            task_status.started()
            while True:
                self._advance()
                await self._clock.sleep_ms(_TICK_MS)

    async def _send_heartbeats(self) -> None:
        missed = 0
        while not self.has_left:
            if self.reaches_store and not self.is_powered_off:
                self.write_entry()
                missed = 0
            else:
                missed += 1
                if missed == _MISSED_HEARTBEATS:
                    self._store.remove(self._key)
            await self._clock.sleep_ms(_HEARTBEAT_MS)

    async def announce_end(self, *, notice_ms: float) -> None:
        """Announce the end in its entry, and return when it is due."""
        self.is_draining = True
        self.write_entry()
        await self._clock.sleep_ms(notice_ms)
        self.write_entry()
        await self._clock.sleep_ms(_EXIT_MS)

    def leave(self) -> None:
        """End as planned."""
        self.has_left = True
        for record in self.list_open():
            self._end(record, "stopped")
        self.power_off()
        self._store.remove(self._key)

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if request.path.endswith("/pace") and not self.is_powered_off:
            body = request.parse_json()
            self._paces[body["task"], body["attempt"]] = body["percent"]
        return await super()._dispatch(request)

    def _reply(self, value: dict[str, Any]) -> HttpResponse:
        tail_ms = (
            LATENCY_LIMIT_MS / self._measure_slack() if self._behaviour.cost else 0
        )
        for row in value.get("running", ()):
            # Tasks that don't end make no progress.
            row[3] = self._measure_progress(row[0], row[1])
            filler_cpu = self._find_filler_cpu(row[0])
            pace = self._paces.get((row[0], row[1]), 100)
            row[4] = filler_cpu * pace / 100.0 if filler_cpu else tail_ms
        return super()._reply(value)

    def _measure_progress(self, task: str, attempt: int) -> int:
        """Return the progress of a run, in percent."""
        if task.rpartition(".")[0] not in self._behaviour.batch_steps:
            return 100
        worked_ms = self._worked_ms.get((task, attempt), 0.0)
        return min(99, int(100.0 * worked_ms / self._find_task_ms(task)))

    def _find_filler_cpu(self, task: str) -> int:
        return self._behaviour.filler_cpu.get(task.rpartition(".")[0], 0)

    def _measure_slack(self) -> float:
        """Return the slack of the service tasks beside the running fillers."""
        used = sum(
            self._find_filler_cpu(record.task)
            * self._paces.get((record.task, record.attempt), 100)
            for record in self._list_running()
        )
        share = used / 100.0 / self.capacity["cpu"]
        return max(_MIN_SLACK, _SLACK - self._behaviour.cost * share)

    def _advance(self) -> None:
        now_ms = self._clock.monotonic_ms()
        passed_ms = now_ms - self._advanced_ms
        self._advanced_ms = now_ms
        is_lapsed = self._read_local_clock() > self._deadline_ms
        if is_lapsed:
            self.lapsed_ends |= {
                (end.task, end.attempt) for _, end in self._unacknowledged_ends
            }
        for record in self._list_running():
            worked_ms = self._measure_work(record, now_ms, passed_ms)
            harm_ms = self._behaviour.harm_delays_ms.get(record.task)
            if harm_ms is not None and now_ms - record.started_ms >= harm_ms:
                self._behaviour.end_worker(self, record.task)
                return
            if is_lapsed:
                self._end(record, "lapsed")
            elif worked_ms >= self._find_task_ms(record.task):
                fails = self.fault is WorkerFault.FAILS_TASKS
                self._end(record, "failed" if fails else "done")

    def _measure_work(
        self, record: TaskRecord, now_ms: float, passed_ms: float
    ) -> float:
        """Return for how long a task has worked at full speed, in ms."""
        if record.task.rpartition(".")[0] not in self._behaviour.batch_steps:
            return now_ms - record.started_ms
        key = (record.task, record.attempt)
        worked_ms = self._worked_ms.get(key, 0.0)
        worked_ms += passed_ms * self._paces.get(key, 100) / 100.0
        self._worked_ms[key] = worked_ms
        return worked_ms
