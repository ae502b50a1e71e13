"""Stand-in of a worker of the users' platform: tasks that take their time."""

import enum
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer

__all__ = ["PlatformWorker", "TaskRecord", "WorkerFault"]


class WorkerFault(enum.Enum):
    """How the worker misbehaves."""

    NONE = "none"
    SILENT = "silent"
    FAILS_TASKS = "fails tasks"
    LATE_STARTS = "late starts"


@attrs.define(kw_only=True)
class TaskRecord:
    """One run of a task.

    Parameters
    ----------
    task : str
        Its name.
    attempt : int
        Number of the attempt.
    token : int
        Fencing token of the order.
    started_ms : float
        When it started, in ms.
    ended_ms : float or None
        When it ended, in ms.
    how : str
        How it ended.
    checkpoint : str
        Where it began.
    acknowledged : bool
        Whether its end was acknowledged.
    """

    task: str
    attempt: int
    token: int
    started_ms: float
    ended_ms: float | None = None
    how: str = ""
    checkpoint: str = ""
    acknowledged: bool = False


class PlatformWorker:
    """One life of a worker.

    Parameters
    ----------
    worker_id : str
        Its id.
    clock : Clock
        Where time comes from.
    task_ms : float
        Time of each task, in ms.
    rate : float, optional
        How fast its own clock runs, by which it judges deadlines.
    checks_token : bool, optional
        Whether it refuses calls with a lower fencing token than it has seen.
    failure_domain : str, optional
        Failure domain that its entry reports.
    port : int, optional
        Where it takes orders; 0 takes a free port.
    crashes : mapping of str to float, optional
        Tasks that crash the worker, by the beginning of their names, and the time from
        their start to the crash, in ms.
    on_crash : callable, optional
        Called once a task has crashed the worker, to end its process.

    Attributes
    ----------
    records : list of TaskRecord
        Every run, in order.
    fault : WorkerFault
        How it misbehaves now.
    late_ms : float
        How much later a late start is carried out, in ms.
    calls : int
        Calls received.
    capacity : dict of str to int
        What it has, as it reports it.
    odd_running, odd_ends : list
        Rows of another format, put before those that it lists.
    words : dict of str to str
        What it says in place of a word for how a task ended.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        clock: Clock,
        task_ms: float,
        rate: float = 1.0,
        checks_token: bool = True,
        failure_domain: str = "z",
        port: int = 0,
        crashes: Mapping[str, float] | None = None,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        self._crashes = crashes if crashes is not None else {}
        self._on_crash = on_crash
        self._rate = rate
        self._checks_token = checks_token
        self.worker_id = worker_id
        self.failure_domain = failure_domain
        self._clock = clock
        self._task_ms = task_ms
        self._token = 0
        self._deadline_ms = 0.0
        self._ends: list[tuple[int, TaskRecord]] = []
        self._count = 0
        self._forbidden: dict[str, int] = {}
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.records: list[TaskRecord] = []
        self.fault = WorkerFault.NONE
        self.late_ms = 600.0
        self.capacity = {"cpu": 4000, "mem_mb": 8000, "gpu": 0}
        self.calls = 0
        self._is_off = False
        self.odd_running: list[Any] = []
        self.odd_ends: list[Any] = []
        self.words: dict[str, str] = {}
        self.server = HttpServer(handler=self._answer, host="127.0.0.1", port=port)

    def _read_own_clock(self) -> float:
        return self._clock.monotonic_ms() * self._rate

    def describe(self, service: str, *, port: int | None = None) -> dict[str, Any]:
        """Return the entry that the worker keeps in the store.

        Parameters
        ----------
        service : str
            The service whose tasks it runs.
        port : int, optional
            Where it takes orders, if something stands in between.
        """
        return {
            "service": service,
            "address": f"127.0.0.1:{port or self.server.port}",
            "zone": self.failure_domain,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": dict(self.capacity),
            "labels": ["a", "r1"],
            "clock_ms": int(self._read_own_clock()),
            "sequence": 1,
        }

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve and run tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.server.run)
            task_status.started()
            while True:
                self._advance()
                await self._clock.sleep_ms(10.0)

    def _list_running(self) -> list[TaskRecord]:
        return [record for record in self.records if record.ended_ms is None]

    def _advance(self) -> None:
        now_ms = self._clock.monotonic_ms()
        for record in self._list_running():
            if now_ms - record.started_ms >= self._find_crash(record.task):
                self.power_off()
                if self._on_crash is not None:
                    self._on_crash()
                return
            if self._read_own_clock() > self._deadline_ms:
                self._end(record, "lapsed")
            elif now_ms - record.started_ms >= self._task_ms:
                fails = self.fault is WorkerFault.FAILS_TASKS
                self._end(record, "failed" if fails else "done")

    def _find_crash(self, task: str) -> float:
        """Return how long after its start a task crashes the worker, in ms."""
        return min(
            (ms for name, ms in self._crashes.items() if task.startswith(name)),
            default=math.inf,
        )

    def _end(self, record: TaskRecord, how: str) -> None:
        record.ended_ms = self._clock.monotonic_ms()
        record.how = how
        self._count += 1
        self._ends.append((self._count, record))
        self._forbid(record.task, record.attempt)
        self._changed.set()
        self._changed = trio.Event()

    def _forbid(self, task: str, attempt: int) -> None:
        self._forbidden[task] = max(self._forbidden.get(task, 0), attempt)

    def crash(self) -> None:
        """End all that runs; nothing of it is listed any more."""
        for record in self._list_running():
            record.ended_ms = self._clock.monotonic_ms()
            record.how = "crashed"

    def power_off(self) -> None:
        """End all that runs, and answer no call any more.

        A call that had arrived goes on until it next waits: without a mark it would
        start a task on a worker that is gone.
        """
        self._is_off = True
        self.crash()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        await self._keep_silent()
        response = await self._carry_out(request)
        # What was asked before the silence began isn't answered in it either.
        await self._keep_silent()
        return response

    async def _keep_silent(self) -> None:
        if self.fault is WorkerFault.SILENT:
            await trio.sleep_forever()

    async def _carry_out(self, request: HttpRequest) -> HttpResponse:
        if self._is_off:
            raise trio.BrokenResourceError
        if request.get_header("expect-instance") != self.worker_id:
            return HttpResponse(status=421)
        body = request.parse_json()
        if self._is_fenced(body):
            return self._refuse("fence")
        self._token = max(self._token, body["fencing_token"])
        name = request.path.removeprefix("/trefoilhook/")
        if name == "run-start":
            if self.fault is WorkerFault.LATE_STARTS:
                await self._start_late(body)
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._reply({})

    def _is_fenced(self, body: dict[str, Any]) -> bool:
        """Tell whether a call comes from an earlier owner than one seen."""
        return self._checks_token and body["fencing_token"] < self._token

    async def _start_late(self, body: dict[str, Any]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._start_after, body)
        raise trio.BrokenResourceError

    async def _start_after(self, body: dict[str, Any]) -> None:
        await self._clock.sleep_ms(self.late_ms)
        if not self._is_fenced(body):
            self._start(body)

    def _start(self, body: dict[str, Any]) -> HttpResponse:
        now_ms = self._clock.monotonic_ms()
        task, attempt = body["task"], body["attempt"]
        self._deadline_ms = max(self._deadline_ms, body["deadline_ms"])
        for record in self._list_running():
            if (record.task, record.attempt) == (task, attempt):
                return self._reply({})
        if attempt <= self._forbidden.get(task, 0):
            return self._refuse("old")
        if self._read_own_clock() > body["deadline_ms"]:
            return self._refuse("late")
        self.records.append(
            TaskRecord(
                task=task,
                attempt=attempt,
                token=body["fencing_token"],
                started_ms=now_ms,
                checkpoint=body.get("checkpoint", ""),
            )
        )
        return self._reply({})

    def _stop(self, body: dict[str, Any]) -> HttpResponse:
        for record in self._list_running():
            if (record.task, record.attempt) == (body["task"], body["attempt"]):
                self._end(record, "stopped")
        self._forbid(body["task"], body["attempt"])
        return self._reply({})

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        self._deadline_ms = max(self._deadline_ms, body.get("deadline_ms", 0))
        for number, record in self._ends:
            record.acknowledged = record.acknowledged or number <= body["acked"]
        self._ends = [end for end in self._ends if end[0] > body["acked"]]
        with trio.move_on_after(body.get("wait_ms", 0) / 1000.0):
            while not self._ends:
                await self._changed.wait()
        running = [[r.task, r.attempt, "", 10, 0] for r in self._list_running()]
        ends = [
            [n, r.task, r.attempt, self.words.get(r.how, r.how), ""]
            for n, r in self._ends
        ]
        return self._reply(
            {
                "running": [*self.odd_running, *running],
                "finished": [*self.odd_ends, *ends],
            }
        )

    def _reply(self, value: dict[str, Any]) -> HttpResponse:
        value["clock_ms"] = int(self._read_own_clock())
        return HttpResponse.from_json(value)

    def _refuse(self, reason: str) -> HttpResponse:
        value = {"clock_ms": int(self._read_own_clock()), "reason": reason}
        return HttpResponse.from_json(value, status=409)
