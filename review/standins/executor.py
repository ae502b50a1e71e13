"""An executor: runs tasks under leases and lists their ends.

What a task does stands in the job's ``spec``, as JSON with one entry a step: ``ms`` of
work (0: it lasts), ``serves`` (it reports a tail of responses), ``gang`` (number of
members) and ``saves`` (it checkpoints).
"""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

from review.standins import web

_SAVE_MS = 500.0
_GANG_TIMEOUT_MS = 3000.0
_START_UP_MS = 300.0
_TAIL_MS = 4
_TICK_S = 0.01


class Run:
    """One run of a task.

    Parameters
    ----------
    body : dict
        The order that started it.
    executor : Executor
        Where it runs.
    """

    def __init__(self, body: dict[str, Any], executor: "Executor") -> None:
        self.task: str = body["task"]
        self.attempt: int = body["attempt"]
        self.token: int = body.get("fencing_token", 0)
        self.checkpoint: str = body.get("checkpoint", "")
        self.executor = executor
        self.job, _, step, _ = self.task.split(".")
        self.what = json.loads(body["spec"])[int(step)]
        self.began = time.monotonic()
        self.ended: float | None = None
        self.how = ""
        self.saved = self.checkpoint
        self.work_ms = float(int(self.checkpoint[:8], 16)) if self.checkpoint else 0.0
        self.pace = 100
        self.works = not self.what.get("gang")

    @property
    def group(self) -> tuple[str, int]:
        """Step and attempt, which the members of a gang share."""
        return self.task.rpartition(".")[0], self.attempt

    @property
    def percent(self) -> int:
        """Progress in percent; a task that lasts is at work at 100."""
        whole_ms = self.what["ms"] or _START_UP_MS
        return min(100, int(100 * self.work_ms / whole_ms))

    def describe(self) -> list[Any]:
        """Return its row of ``running``."""
        load = _TAIL_MS if self.what.get("serves") else 10
        return [self.task, self.attempt, self.saved, self.percent, load]

    def save(self) -> None:
        """Produce a new checkpoint of the work done so far."""
        if self.what.get("saves"):
            self.saved = f"{int(self.work_ms):08x}{self.job[4:12]}"


class Executor:
    """One life of an executor.

    Parameters
    ----------
    name : str
        Its id.
    service : str
        Its service.
    gangs : dict
        Present runs by group, shared by all executors.
    note : callable
        Called with a line for the record.
    rate : float, optional
        Rate of its steady clock.
    """

    def __init__(
        self,
        name: str,
        service: str,
        gangs: dict[tuple[str, int], list[Run]],
        note: Callable[[str], None],
        *,
        rate: float = 1.0,
    ) -> None:
        self.name = name
        self.is_up = True
        self.history: list[Run] = []
        self.port = 0
        self.capacity = {"cpu": 16000, "mem_mb": 32768, "gpu": 0}
        self._service = service
        self._gangs = gangs
        self._note = note
        self._rate = rate
        self._born = time.monotonic()
        self._lease_ms = 0.0
        self._token = 0
        self._runs: dict[tuple[str, int], Run] = {}
        self._ends: list[tuple[int, Run]] = []
        self._count = 0
        self._settled: dict[str, int] = {}
        self._ended = asyncio.Event()
        self._server: asyncio.Server | None = None

    def read_clock(self) -> float:
        """Return its steady clock, in ms."""
        return (time.monotonic() - self._born) * 1000.0 * self._rate

    def describe(self, sequence: int, *, port: int = 0) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self._service,
            "address": f"127.0.0.1:{port or self.port}",
            "zone": "sligo-hall",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": ["a", "r1-1"],
            "clock_ms": int(self.read_clock()),
            "sequence": sequence,
        }

    async def open(self) -> None:
        """Listen for orders."""
        self._server = await web.serve(self._handle)
        self.port = web.get_port(self._server)

    def crash(self) -> None:
        """End at once; nothing answers here any more."""
        self.is_up = False
        lost = list(self._runs.values())
        self._runs.clear()
        for run in lost:
            run.ended, run.how = time.monotonic(), "crashed"
            self._note(f"{self.name}: {run.task} run {run.attempt} crashed with it")
            self._leave_group(run)
        for run in lost:
            self._break_group(run)
        if self._server is not None:
            self._server.close()
        self._notify()

    async def work(self) -> None:
        """Let the runs work, until cancelled."""
        before = time.monotonic()
        while self.is_up:
            await asyncio.sleep(_TICK_S)
            now = time.monotonic()
            passed_ms, before = (now - before) * 1000.0, now
            for run in list(self._runs.values()):
                if run.ended is None:
                    self._advance(run, passed_ms)

    def _advance(self, run: Run, passed_ms: float) -> None:
        if self.read_clock() > self._lease_ms:
            self._end(run, "lapsed")
            return
        if not run.works:
            if (time.monotonic() - run.began) * 1000.0 > _GANG_TIMEOUT_MS:
                self._end(run, "alone")
            return
        run.work_ms += passed_ms * run.pace / 100.0
        saved_ms = int(run.saved[:8], 16) if run.saved else 0
        if run.work_ms >= saved_ms + _SAVE_MS:
            run.work_ms, exact_ms = saved_ms + _SAVE_MS, run.work_ms
            run.save()
            run.work_ms = exact_ms
        if run.what["ms"] and run.work_ms >= run.what["ms"]:
            self._end(run, "done")

    # Gangs.

    def _join_group(self, run: Run) -> None:
        """Begin the work of a gang once all members with one checkpoint are present."""
        if not run.what.get("gang"):
            return
        members = self._gangs.setdefault(run.group, [])
        members.append(run)
        same = [m for m in members if m.checkpoint == run.checkpoint]
        if len(same) == run.what["gang"]:
            for member in same:
                member.works = True

    def _leave_group(self, run: Run) -> None:
        if run in self._gangs.get(run.group, []):
            self._gangs[run.group].remove(run)

    def _break_group(self, run: Run) -> None:
        """End the other members of a gang at work, as one of them has ended."""
        if not run.works or run.how == "done":
            return
        for member in list(self._gangs.get(run.group, [])):
            if member.works and member.ended is None:
                member.executor._end(member, "broken")

    # Ends.

    def _end(self, run: Run, how: str) -> None:
        if how == "stopped":
            run.save()
        run.ended, run.how = time.monotonic(), how
        self._runs.pop((run.task, run.attempt), None)
        self._settled[run.task] = max(self._settled.get(run.task, 0), run.attempt)
        self._count += 1
        self._ends.append((self._count, run))
        self._note(
            f"{self.name}: {run.task} run {run.attempt} ended {how}, "
            f"saved {run.saved!r}"
        )
        self._leave_group(run)
        self._break_group(run)
        self._notify()

    def _notify(self) -> None:
        self._ended.set()
        self._ended = asyncio.Event()

    # Calls.

    async def _handle(self, request: web.Request) -> web.Answer:
        if not self.is_up:
            raise web.DroppedError
        if request.headers.get("expect-instance", self.name) != self.name:
            return 421, self._date({})
        body = request.parse()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return 409, self._date({"reason": "fence"})
        self._token = token
        name = request.path.removeprefix("/trefoilhook/")
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "pace":
            run = self._runs.get((body["task"], body["attempt"]))
            if run is not None:
                run.pace = body["percent"]
            return 200, self._date({})
        if name == "hold":
            return await self._hold(body)
        return 404, None

    def _date(self, value: dict[str, Any]) -> dict[str, Any]:
        return {"clock_ms": int(self.read_clock()), **value}

    def _extend(self, deadline_ms: float) -> None:
        longest_ms = self.read_clock() + 10_000.0
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    def _start(self, body: dict[str, Any]) -> web.Answer:
        key = body["task"], body["attempt"]
        self._extend(body["deadline_ms"])
        if key in self._runs:
            return 200, self._date({})
        if body["attempt"] <= self._settled.get(body["task"], 0):
            return 409, self._date({"reason": "old"})
        if self.read_clock() > body["deadline_ms"]:
            return 409, self._date({"reason": "late"})
        run = Run(body, self)
        self._runs[key] = run
        self.history.append(run)
        self._note(
            f"{self.name}: {run.task} run {run.attempt} started, token {run.token}, "
            f"checkpoint {run.checkpoint!r}"
        )
        self._join_group(run)
        return 200, self._date({})

    def _stop(self, body: dict[str, Any]) -> web.Answer:
        task, attempt = body["task"], body["attempt"]
        run = self._runs.get((task, attempt))
        if run is not None:
            self._end(run, "stopped")
        self._settled[task] = max(self._settled.get(task, 0), attempt)
        return 200, self._date({})

    async def _hold(self, body: dict[str, Any]) -> web.Answer:
        self._extend(body.get("deadline_ms", 0.0))
        self._ends = [row for row in self._ends if row[0] > body.get("acked", 0)]
        if not self._ends:
            try:
                async with asyncio.timeout(body.get("wait_ms", 0) / 1000.0):
                    await self._ended.wait()
            except TimeoutError:
                pass
        if not self.is_up:
            raise web.DroppedError
        finished = [
            [number, run.task, run.attempt, run.how, run.saved]
            for number, run in self._ends
        ]
        running = [run.describe() for run in self._runs.values()]
        return 200, self._date({"running": running, "finished": finished[:500]})
