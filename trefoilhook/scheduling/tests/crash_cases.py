"""Simulated workers that crash while they run tasks."""

import random

import attrs

from trefoilhook.scheduling import (
    EndKind,
    JobPhase,
    JobRecord,
    OrderOutcome,
    StartOrder,
    StopOrder,
    TaskId,
    WorkerReport,
    decode_progress,
    encode_progress,
    handle_worker_loss,
    is_settled,
)
from trefoilhook.scheduling.job_state import JobState
from trefoilhook.scheduling.suspicion import Suspicion
from trefoilhook.scheduling.tests.cases import Shard
from trefoilhook.scheduling.tickets import name_step

MAX_STARTS = 5
"""Maximum number of starts of a crashing task: two after three crashes."""

LOST = OrderOutcome.CONNECTION_LOST
REFUSED = OrderOutcome.CONNECTION_REFUSED

TICK_MS = 50.0
_REFUSAL_DELAY_MS = 200.0
"""Time after a crash at which a connection to the worker is refused."""

_RESTART_DELAY_MS = 3000.0
"""Time after a crash at which another incarnation answers at the worker's address."""


@attrs.define(kw_only=True, eq=False)
class _Crash:
    worker_id: str
    at_ms: float
    has_refused_connection: bool = False


class CrashingShard(Shard):
    """Shard with simulated task durations and worker crashes.

    Parameters
    ----------
    task_ms : float
        Duration of each task, in ms.
    crash_delays : dict of str to float
        Time from start to crash, in ms, by prefix of the task id.
    crash_rate : float
        Rate of worker crashes that no task causes, per ms.
    seed : int
        Seed of the random crashes.
    """

    def __init__(
        self,
        *,
        task_ms: float = 2000.0,
        crash_delays: dict[str, float] | None = None,
        crash_rate: float = 0.0,
        seed: int = 1,
        **fields,
    ) -> None:
        self.task_ms = task_ms
        self.crash_delays = crash_delays if crash_delays is not None else {}
        self.crash_rate = crash_rate
        self.rng = random.Random(seed)
        self.started_runs: dict[str, dict[tuple, float]] = {}
        self.crashes: list[_Crash] = []
        self.crash_counts: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.incarnations = 0
        self.saved_progress: dict[str, bytes] = {}
        self.roster: list[str] = []
        super().__init__(**fields)

    def save(self) -> None:
        """Save all changes, as the next owner will read them."""
        for state in self.scheduler.dirty:
            self.saved_progress[state.job.job_id] = encode_progress(state.progress)
        super().save()

    def take_over(self, *, gap_ms: float) -> "CrashingShard":
        """Return the shard of the next owner, which has only what was saved.

        Parameters
        ----------
        gap_ms : float
            Time between two owners, in ms. Workers run and crash in it.
        """
        successor = CrashingShard(
            task_ms=self.task_ms,
            crash_delays=self.crash_delays,
            workers=0,
            epoch=self.scheduler.epoch + 1,
            settled=False,
        )
        for name in ("workers", "started_runs", "crashes", "crash_counts", "starts"):
            setattr(successor, name, getattr(self, name))
        successor.incarnations = self.incarnations
        successor.saved_progress = self.saved_progress
        successor.now_ms = self.now_ms
        for job_id, state in self.scheduler.jobs.items():
            successor._load_job(job_id, state)
        while successor.now_ms < self.now_ms + gap_ms:
            successor.advance_time(TICK_MS)
            successor._advance()
        for worker_id, worker in self.scheduler.workers.items():
            successor._load_worker(worker_id, worker.report)
        return successor

    def _load_job(self, job_id: str, state: JobState) -> None:
        data = self.saved_progress.get(job_id)
        self.scheduler.add_job(
            JobRecord(
                job=state.job,
                phase=state.phase if state.phase_saved else JobPhase.OPEN,
            ),
            revision=1,
            is_new=False,
            wall_ms=self.now_ms,
            progress=decode_progress(data) if data is not None else None,
            progress_revision=9 if data is not None else 0,
        )

    def _load_worker(self, worker_id: str, report: WorkerReport) -> None:
        self.scheduler.update_worker(report)
        self.scheduler.workers[worker_id].is_in_roster = True
        self.roster.append(worker_id)

    def crash(self, worker_id: str) -> None:
        """Crash a worker with all its running tasks."""
        for task, attempt in self.started_runs.pop(worker_id, {}):
            name = str(task)
            self.crash_counts[name] = self.crash_counts.get(name, 0) + 1
            if self.scheduler.jobs[task.job_id].job.steps[task.step].gang:
                self._break_gang(task, attempt)
        self.workers[worker_id].running.clear()
        self.crashes.append(_Crash(worker_id=worker_id, at_ms=self.now_ms))
        if worker_id in self.scheduler.workers:
            self.silence(worker_id, OrderOutcome.CONNECTION_LOST)

    def _break_gang(self, lost: TaskId, attempt: int) -> None:
        """End the other members of a gang after the loss of one."""
        for worker_id, runs in self.started_runs.items():
            for task, other in list(runs):
                if other == attempt and name_step(task) == name_step(lost):
                    self.workers[worker_id].end(task, other, EndKind.PEER_ENDED)
                    del runs[task, other]

    def is_crashed(self, worker_id: str) -> bool:
        """Return whether a worker has crashed."""
        return any(crash.worker_id == worker_id for crash in self.crashes)

    def run_for(self, duration_ms: float) -> None:
        """Simulate the given duration."""
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.tick()

    def tick(self) -> None:
        """Execute one plan and simulate the time until the next one."""
        self.scheduler.entries.note_read(self.now_ms)
        self.settled = self.settled or is_settled(
            self.scheduler, self.roster, self.now_ms
        )
        for order in self.plan():
            self._execute(order)
        self.save()
        self.advance_time(TICK_MS)
        self._advance()
        for crash in self.crashes:
            self._process_crash(crash)
        for worker_id in list(self.scheduler.workers):
            if not self.is_crashed(worker_id):
                self.poll(worker_id)

    def _execute(self, order) -> None:
        if self.is_crashed(order.worker_id):
            self.answer(order, OrderOutcome.CONNECTION_REFUSED)
            return
        worker = self.workers[order.worker_id]
        key = (order.task, getattr(order, "attempt", 0))
        if isinstance(order, StartOrder):
            worker.run(order)
            self.started_runs.setdefault(order.worker_id, {})[key] = self.now_ms
            self.starts[str(order.task)] = self.starts.get(str(order.task), 0) + 1
            self.answer(order, OrderOutcome.DONE)
        elif isinstance(order, StopOrder):
            if key in worker.running:
                worker.end(order.task, order.attempt, EndKind.STOPPED)
                self.started_runs[order.worker_id].pop(key, None)
            self.answer(order, OrderOutcome.DONE)

    def _advance(self) -> None:
        for worker_id, runs in list(self.started_runs.items()):
            if self.rng.random() < self.crash_rate * TICK_MS:
                self.crash(worker_id)
                continue
            for (task, attempt), began_ms in list(runs.items()):
                ran_ms = self.now_ms - began_ms
                if ran_ms >= self._get_crash_delay(str(task)):
                    self.crash(worker_id)
                    break
                if ran_ms >= self.task_ms and self._ends(task):
                    self.workers[worker_id].end(task, attempt, EndKind.DONE)
                    del runs[task, attempt]

    def _get_crash_delay(self, name: str) -> float:
        found = (ms for key, ms in self.crash_delays.items() if name.startswith(key))
        return min(found, default=float("inf"))

    def _ends(self, task) -> bool:
        state = self.scheduler.jobs[task.job_id]
        return not state.job.steps[task.step].long_running

    def _process_crash(self, crash: _Crash) -> None:
        since_ms = self.now_ms - crash.at_ms
        worker = self.scheduler.workers.get(crash.worker_id)
        if since_ms >= _REFUSAL_DELAY_MS and not crash.has_refused_connection:
            crash.has_refused_connection = True
            if worker is not None:
                self.silence(crash.worker_id, OrderOutcome.CONNECTION_REFUSED)
        if since_ms < _RESTART_DELAY_MS or worker is None:
            return
        handle_worker_loss(self.scheduler, worker, self.now_ms)
        self.incarnations += 1
        self.add_worker(f"{crash.worker_id}-{self.incarnations}")

    def list_failed(self) -> list[str]:
        """Return the ids of the failed jobs."""
        return [
            job_id
            for job_id, state in self.scheduler.jobs.items()
            if state.phase is JobPhase.FAILED
        ]


def crash(shard: Shard, worker_id: str, *, refused: bool = True) -> None:
    """Simulate the crash of a worker and its replacement at the same address."""
    shard.silence(worker_id, LOST)
    shard.advance_time(200.0)
    if refused:
        shard.silence(worker_id, REFUSED)
    shard.advance_time(1000.0)
    shard.scheduler.entries.note_read(shard.now_ms)
    handle_worker_loss(
        shard.scheduler, shard.scheduler.workers[worker_id], shard.now_ms
    )


def read_loss(shard: Shard):
    """Return the latest recorded loss."""
    return shard.scheduler.suspects.losses[-1]


def find_suspicion(shard: Shard, job_id: str = "j") -> Suspicion | None:
    """Return the suspicion of the only task of a job, or None."""
    suspicions = shard.scheduler.jobs[job_id].progress.suspicions
    return next(iter(suspicions.values()), None)


def start_saved(shard: Shard):
    """Save the record of a suspected task and return its start order."""
    shard.plan()
    shard.save()
    return shard.start_one()
