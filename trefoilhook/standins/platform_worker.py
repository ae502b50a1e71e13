"""Stand-in for a worker of the users' platform."""

import enum
import math
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import trio

from trefoilhook.clock import Clock
from trefoilhook.http import HttpRequest, HttpResponse, HttpServer

__all__ = ["PlatformWorker", "TaskRecord", "WorkerFault"]


_MAX_LEASE_MS = 6000.0
"""Maximum lease in ms; longer ones are shortened to it."""


class WorkerFault(enum.Enum):
    """Faults of the worker."""

    NONE = "none"
    SILENT = "silent"
    FAILS_TASKS = "fails tasks"
    LATE_STARTS = "late starts"


@attrs.define(kw_only=True)
class TaskRecord:
    """Record of a task run.

    Parameters
    ----------
    task : str
        Name of the task.
    attempt : int
        Attempt number.
    token : int
        Fencing token of the start request.
    started_ms : float
        Start time, in ms.
    ended_ms : float or None
        End time, in ms; None while the task runs.
    how : str
        Outcome of the run.
    checkpoint : str
        Checkpoint from which it was started.
    acknowledged : bool
        Whether the end was acknowledged.
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
    """Worker of the users' platform, from its start until it is powered off.

    Parameters
    ----------
    worker_id : str
        Id of the worker.
    clock : Clock
        Source of time.
    task_ms : float
        Run time of each task, in ms.
    clock_rate : float, optional
        Rate of its local clock, which it uses for deadlines.
    checks_token : bool, optional
        Whether it refuses calls with a lower fencing token than a previous one.
    failure_domain : str, optional
        Failure domain given in its entry.
    port : int, optional
        Port to listen on; 0 selects a free one.
    crashes : mapping of str to float, optional
        Name prefixes of tasks that crash the worker, and the delay from their start to
        the crash, in ms.
    on_crash : callable, optional
        Called after a task has crashed the worker.

    Attributes
    ----------
    records : list of TaskRecord
        All task runs, in order.
    fault : WorkerFault
        Active fault.
    late_ms : float
        Delay of starts under the fault LATE_STARTS, in ms.
    calls : int
        Number of calls received.
    is_powered_off : bool
        Whether its process has ended.
    born_ms : int
        Start of its process, in ms since the Unix epoch.
    capacity : dict of str to int
        Reported capacity.
    malformed_running, malformed_ends : list
        Malformed rows, placed before the valid ones in responses.
    outcome_overrides : dict of str to str
        Replacements for reported task outcomes.
    """

    def __init__(
        self,
        *,
        worker_id: str,
        clock: Clock,
        task_ms: float,
        clock_rate: float = 1.0,
        checks_token: bool = True,
        failure_domain: str = "z",
        port: int = 0,
        crash_delays_ms: Mapping[str, float] | None = None,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        self._crashes = crash_delays_ms if crash_delays_ms is not None else {}
        self._on_crash = on_crash
        self._clock_rate = clock_rate
        self._checks_token = checks_token
        self.worker_id = worker_id
        self.failure_domain = failure_domain
        self._clock = clock
        self._task_ms = task_ms
        self._highest_token = 0
        self._deadline_ms = 0.0
        self._unacknowledged_ends: list[tuple[int, TaskRecord]] = []
        self._end_count = 0
        self._settled_attempts: dict[str, int] = {}
        self._changed = trio.Event()
        self._nursery: trio.Nursery | None = None
        self.records: list[TaskRecord] = []
        self.fault = WorkerFault.NONE
        self.late_start_delay_ms = 600.0
        self.capacity = {"cpu": 4000, "mem_mb": 8000, "gpu": 0}
        self.calls = 0
        self.is_powered_off = False
        self.born_ms = int(clock.wall_ms())
        self._clock_started_ms = 0.0
        self.malformed_running: list[Any] = []
        self.malformed_ends: list[Any] = []
        self.outcome_overrides: dict[str, str] = {}
        self.server = HttpServer(
            handler=self._handle_request, host="127.0.0.1", port=port
        )

    def _read_local_clock(self) -> float:
        elapsed_ms = self._clock.monotonic_ms() - self._clock_started_ms
        return elapsed_ms * self._clock_rate

    def describe(self, service: str, *, port: int | None = None) -> dict[str, Any]:
        """Return the entry of the worker in the store.

        Parameters
        ----------
        service : str
            Service whose tasks it runs.
        port : int, optional
            Port to report, if a proxy is placed in front of the worker.
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
            "clock_ms": int(self._read_local_clock()),
            "sequence": 1,
            "born": self.born_ms,
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
            if now_ms - record.started_ms >= self._get_crash_delay_ms(record.task):
                self.power_off()
                if self._on_crash is not None:
                    self._on_crash()
                return
            if self._read_local_clock() > self._deadline_ms:
                self._end(record, "lapsed")
            elif now_ms - record.started_ms >= self._task_ms:
                fails = self.fault is WorkerFault.FAILS_TASKS
                self._end(record, "failed" if fails else "done")

    def _get_crash_delay_ms(self, task: str) -> float:
        """Return the delay from a task's start until it crashes the worker, in ms."""
        return min(
            (ms for name, ms in self._crashes.items() if task.startswith(name)),
            default=math.inf,
        )

    def _end(self, record: TaskRecord, how: str) -> None:
        record.ended_ms = self._clock.monotonic_ms()
        record.how = how
        self._end_count += 1
        self._unacknowledged_ends.append((self._end_count, record))
        self._settle_attempt(record.task, record.attempt)
        self._notify_change()

    def _notify_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _settle_attempt(self, task: str, attempt: int) -> None:
        self._settled_attempts[task] = max(self._settled_attempts.get(task, 0), attempt)

    def crash(self) -> None:
        """Record all running tasks as crashed; they are no longer reported."""
        for record in self._list_running():
            record.ended_ms = self._clock.monotonic_ms()
            record.how = "crashed"

    def power_off(self) -> None:
        """Crash the worker; it no longer responds to calls.

        A call in progress continues until its next await, and must not start a task on
        the crashed worker; the flag set here prevents that.
        """
        self.is_powered_off = True
        self.crash()
        self._notify_change()

    async def restart(self, *, down_ms: float) -> None:
        """Crash the worker and start it again under its id.

        The new process has no state of the previous one, and its counters and its clock
        are reset. The caller has to renew the entry in the store.

        Parameters
        ----------
        down_ms : float
            Time for which the worker does not respond, in ms.
        """
        self.power_off()
        await self._clock.sleep_ms(down_ms)
        self._highest_token = 0
        self._deadline_ms = 0.0
        self._unacknowledged_ends = []
        self._end_count = 0
        self._settled_attempts = {}
        self._clock_started_ms = self._clock.monotonic_ms()
        self.born_ms = max(self.born_ms + 1, int(self._clock.wall_ms()))
        self.is_powered_off = False

    async def _handle_request(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        await self._block_while_silent()
        born_ms = self.born_ms
        response = await self._dispatch(request)
        if self.is_powered_off or self.born_ms != born_ms:
            raise trio.BrokenResourceError
        # A call that arrived before the fault was set must not be answered either.
        await self._block_while_silent()
        return response

    async def _block_while_silent(self) -> None:
        if self.fault is WorkerFault.SILENT:
            await trio.sleep_forever()

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        if self.is_powered_off:
            raise trio.BrokenResourceError
        if request.get_header("expect-instance") != self.worker_id:
            return HttpResponse(status=421)
        body = request.parse_json()
        if self._is_fenced(body):
            return self._refuse("fence")
        self._highest_token = max(self._highest_token, body["fencing_token"])
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
        """Return whether a call comes from a superseded owner."""
        return self._checks_token and body["fencing_token"] < self._highest_token

    async def _start_late(self, body: dict[str, Any]) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self._start_delayed, body)
        raise trio.BrokenResourceError

    async def _start_delayed(self, body: dict[str, Any]) -> None:
        await self._clock.sleep_ms(self.late_start_delay_ms)
        if not self._is_fenced(body):
            self._start(body)

    def _start(self, body: dict[str, Any]) -> HttpResponse:
        now_ms = self._clock.monotonic_ms()
        task, attempt = body["task"], body["attempt"]
        self._extend_leases(body["deadline_ms"])
        for record in self._list_running():
            if (record.task, record.attempt) == (task, attempt):
                return self._reply({})
        if attempt <= self._settled_attempts.get(task, 0):
            return self._refuse("old")
        if self._read_local_clock() > body["deadline_ms"]:
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

    def _extend_leases(self, deadline_ms: float) -> None:
        longest_ms = self._read_local_clock() + _MAX_LEASE_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, longest_ms))

    def _stop(self, body: dict[str, Any]) -> HttpResponse:
        for record in self._list_running():
            if (record.task, record.attempt) == (body["task"], body["attempt"]):
                self._end(record, "stopped")
        self._settle_attempt(body["task"], body["attempt"])
        return self._reply({})

    async def _hold(self, body: dict[str, Any]) -> HttpResponse:
        self._extend_leases(body.get("deadline_ms", 0))
        for number, record in self._unacknowledged_ends:
            record.acknowledged = record.acknowledged or number <= body["acked"]
        self._unacknowledged_ends = [
            end for end in self._unacknowledged_ends if end[0] > body["acked"]
        ]
        with trio.move_on_after(body.get("wait_ms", 0) / 1000.0):
            while not (self._unacknowledged_ends or self.is_powered_off):
                await self._changed.wait()
        running = [[r.task, r.attempt, "", 10, 0] for r in self._list_running()]
        ends = [
            [n, r.task, r.attempt, self.outcome_overrides.get(r.how, r.how), ""]
            for n, r in self._unacknowledged_ends
        ]
        return self._reply(
            {
                "running": [*self.malformed_running, *running],
                "finished": [*self.malformed_ends, *ends],
            }
        )

    def _reply(self, value: dict[str, Any]) -> HttpResponse:
        value["clock_ms"] = int(self._read_local_clock())
        value["born"] = self.born_ms
        return HttpResponse.from_json(value)

    def _refuse(self, reason: str) -> HttpResponse:
        value = {"clock_ms": int(self._read_local_clock()), "reason": reason}
        return HttpResponse.from_json(value, status=409)
