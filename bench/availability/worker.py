"""A worker that sends heartbeats and may leave, on virtual time."""

from collections.abc import Callable
from typing import Any

import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse
from trefoilhook.standins.platform_store import PlatformStore
from trefoilhook.standins.platform_worker import PlatformWorker, TaskRecord

__all__ = ["VirtualWorker"]

_TICK_MS = 20.0
_HEARTBEAT_MS = 1500.0
_MISSED_HEARTBEATS = 3
_EXIT_MS = 100.0
"""Time between the last write of the entry of a worker that leaves and its end, in ms.
"""


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

    def _reply(self, value: dict[str, Any]) -> HttpResponse:
        for row in value.get("running", ()):
            # Tasks that don't end make no progress.
            row[3] = 100
        return super()._reply(value)

    def _advance(self) -> None:
        now_ms = self._clock.monotonic_ms()
        is_lapsed = self._read_local_clock() > self._deadline_ms
        for record in self._list_running():
            if is_lapsed:
                self._end(record, "lapsed")
            elif now_ms - record.started_ms >= self._find_task_ms(record.task):
                self._end(record, "done")
