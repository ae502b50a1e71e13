"""Workers that crash under tasks, on a time that the test moves."""

import random

import attrs

from trefoilhook.scheduling import (
    EndKind,
    JobPhase,
    OrderOutcome,
    StartOrder,
    StopOrder,
    TaskId,
    lose_worker,
)
from trefoilhook.scheduling.suspicion import Suspicion
from trefoilhook.scheduling.tests.cases import Shard
from trefoilhook.scheduling.tickets import name_step

MOST_STARTS = 5
"""After three workers have crashed under it, a task may be started twice more."""

LOST = OrderOutcome.CONNECTION_LOST
REFUSED = OrderOutcome.CONNECTION_REFUSED

TICK_MS = 50.0
_REFUSED_MS = 200.0
"""A crashed worker is called again after so long, in ms, and refuses the connection."""

_REBIRTH_MS = 3000.0
"""Another life answers at a crashed worker's address after so long, in ms."""


@attrs.define(kw_only=True, eq=False)
class _Crash:
    worker_id: str
    at_ms: float
    is_refused: bool = False


class CrashingShard(Shard):
    """A shard whose workers run tasks that take their time, and crash under some.

    Parameters
    ----------
    task_ms : float
        Time of each task, in ms.
    onsets : dict of str to float
        Time from the start to the crash, in ms, by the beginning of a task's name.
    crash_rate : float
        Crashes of a worker for no task's fault, per ms.
    seed : int
        Of these.
    """

    def __init__(
        self,
        *,
        task_ms: float = 2000.0,
        onsets: dict[str, float] | None = None,
        crash_rate: float = 0.0,
        seed: int = 1,
        **fields,
    ) -> None:
        self.task_ms = task_ms
        self.onsets = onsets if onsets is not None else {}
        self.crash_rate = crash_rate
        self.choices = random.Random(seed)
        self.begun: dict[str, dict[tuple, float]] = {}
        self.crashes: list[_Crash] = []
        self.crashed_under: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.lives = 0
        super().__init__(**fields)

    def crash(self, worker_id: str) -> None:
        """End a worker's process under what runs there."""
        for task, attempt in self.begun.pop(worker_id, {}):
            name = str(task)
            self.crashed_under[name] = self.crashed_under.get(name, 0) + 1
            if self.scheduler.jobs[task.job_id].job.steps[task.step].gang:
                self._break_gang(task, attempt)
        self.workers[worker_id].running.clear()
        self.crashes.append(_Crash(worker_id=worker_id, at_ms=self.now_ms))
        if worker_id in self.scheduler.workers:
            self.silence(worker_id, OrderOutcome.CONNECTION_LOST)

    def _break_gang(self, lost: TaskId, attempt: int) -> None:
        """End the other members of a gang, as one of them is lost."""
        for worker_id, runs in self.begun.items():
            for task, other in list(runs):
                if other == attempt and name_step(task) == name_step(lost):
                    self.workers[worker_id].end(task, other, EndKind.PEER_ENDED)
                    del runs[task, other]

    def is_crashed(self, worker_id: str) -> bool:
        """Tell whether a worker's process is gone."""
        return any(crash.worker_id == worker_id for crash in self.crashes)

    def run_for(self, duration_ms: float) -> None:
        """Let the shard and its workers go on for a while."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.tick()

    def tick(self) -> None:
        """Carry out one plan, and what happens until the next."""
        self.scheduler.entries.note_read(self.now_ms)
        for order in self.plan():
            self._carry_out(order)
        self.save()
        self.pass_time(TICK_MS)
        self._advance()
        for crash in self.crashes:
            self._follow(crash)
        for worker_id in list(self.scheduler.workers):
            if not self.is_crashed(worker_id):
                self.look(worker_id)

    def _carry_out(self, order) -> None:
        if self.is_crashed(order.worker_id):
            self.answer(order, OrderOutcome.CONNECTION_REFUSED)
            return
        worker = self.workers[order.worker_id]
        key = (order.task, getattr(order, "attempt", 0))
        if isinstance(order, StartOrder):
            worker.run(order)
            self.begun.setdefault(order.worker_id, {})[key] = self.now_ms
            self.starts[str(order.task)] = self.starts.get(str(order.task), 0) + 1
            self.answer(order, OrderOutcome.DONE)
        elif isinstance(order, StopOrder):
            if key in worker.running:
                worker.end(order.task, order.attempt, EndKind.STOPPED)
                self.begun[order.worker_id].pop(key, None)
            self.answer(order, OrderOutcome.DONE)

    def _advance(self) -> None:
        for worker_id, runs in list(self.begun.items()):
            if self.choices.random() < self.crash_rate * TICK_MS:
                self.crash(worker_id)
                continue
            for (task, attempt), began_ms in list(runs.items()):
                ran_ms = self.now_ms - began_ms
                if ran_ms >= self._find_onset(str(task)):
                    self.crash(worker_id)
                    break
                if ran_ms >= self.task_ms and self._ends(task):
                    self.workers[worker_id].end(task, attempt, EndKind.DONE)
                    del runs[task, attempt]

    def _find_onset(self, name: str) -> float:
        found = (ms for key, ms in self.onsets.items() if name.startswith(key))
        return min(found, default=float("inf"))

    def _ends(self, task) -> bool:
        state = self.scheduler.jobs[task.job_id]
        return not state.job.steps[task.step].long_running

    def _follow(self, crash: _Crash) -> None:
        since_ms = self.now_ms - crash.at_ms
        worker = self.scheduler.workers.get(crash.worker_id)
        if since_ms >= _REFUSED_MS and not crash.is_refused:
            crash.is_refused = True
            if worker is not None:
                self.silence(crash.worker_id, OrderOutcome.CONNECTION_REFUSED)
        if since_ms < _REBIRTH_MS or worker is None:
            return
        lose_worker(self.scheduler, worker, self.now_ms)
        self.lives += 1
        self.add_worker(f"{crash.worker_id}-{self.lives}")

    def list_failed(self) -> list[str]:
        """Return the jobs that are told to have failed."""
        return [
            job_id
            for job_id, state in self.scheduler.jobs.items()
            if state.phase is JobPhase.FAILED
        ]


def crash(shard: Shard, worker_id: str, *, refused: bool = True) -> None:
    """Have a worker's process end, and another life answer at its address."""
    shard.silence(worker_id, LOST)
    shard.pass_time(200.0)
    if refused:
        shard.silence(worker_id, REFUSED)
    shard.pass_time(1000.0)
    shard.scheduler.entries.note_read(shard.now_ms)
    lose_worker(shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms)


def read_loss(shard: Shard):
    """Return the last loss that was judged."""
    return shard.scheduler.suspects.losses[-1]


def find_suspicion(shard: Shard, job_id: str = "j") -> Suspicion | None:
    """Return what speaks against the only task of a job."""
    suspicions = shard.scheduler.jobs[job_id].progress.suspicions
    return next(iter(suspicions.values()), None)


def start_saved(shard: Shard):
    """Plan until the record of a suspected task is written and its start goes out."""
    shard.plan()
    shard.save()
    return shard.start_one()
