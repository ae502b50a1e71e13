"""What a worker lists, taken into the state of a shard."""

from trefoilhook.scheduling.book import Attempt
from trefoilhook.scheduling.core import Scheduler
from trefoilhook.scheduling.crash_records import retract_exposed
from trefoilhook.scheduling.crowds import learn_crowd
from trefoilhook.scheduling.fleet import Run, RunPhase, Worker
from trefoilhook.scheduling.messages import End, EndKind, Look, Running
from trefoilhook.scheduling.models import Demand, Step, TaskId
from trefoilhook.scheduling.unread import keep_hidden, names_all, note_unread

__all__ = ["shares_with_services", "take_look"]

_FULL_PAGE_OF_ENDS = 500
"""A look lists so many ends at most: then one that is missing may come later."""

_FAULTS_TO_AVOID = 2
"""Jobs of which attempts failed on a worker, with none done between, after which it is
avoided: at 3 % of attempts that fail by themselves, chance does that once in 1,100."""

_FAULT_PAUSE_MS = 3000.0
"""How long a worker that fails what it starts gets no new task; doubles each time."""

_LONGEST_FAULT_PAUSE_MS = 12_000.0
"""Bound of that doubling: a worker that has been mended is tried again within it."""

_AT_WORK_MS = 10_000.0
"""Age that a long-running task at work is taken for, in ms, if nothing is known: past
its own start, in which most crashes that a task causes come."""

_UNSURE_PACE = 99
"""Pace noted of an attempt that an earlier owner started: any but the full one."""


def take_look(
    scheduler: Scheduler, worker_id: str, look: Look, *, sent_ms: float, now_ms: float
) -> None:
    """Take in what a worker listed."""
    worker = scheduler.workers.get(worker_id)
    if worker is None:
        return
    _note_answer(scheduler, worker, look, now_ms)
    for end in look.ends:
        _take_end(scheduler, worker, end, now_ms)
    for running in look.running:
        _take_running(scheduler, worker, running, now_ms)
    for row in look.unread:
        if row.attempt is not None:
            _hold_unread(scheduler, worker, row.attempt, now_ms)
    learn_crowd(worker, scheduler.jobs, scheduler.interference, now_ms)
    listed = {(running.task, running.attempt) for running in look.running}
    listed |= keep_hidden(worker, look, listed, now_ms)
    if len(look.ends) + len(look.unread) >= _FULL_PAGE_OF_ENDS:
        return
    worker.is_known = worker.is_known or names_all(look)
    for key, run in list(worker.runs.items()):
        # The worker answered for this run before it was asked for this look: if
        # it neither runs nor has ended there, it never will run there.
        if key not in listed and run.confirmed_ms < sent_ms:
            scheduler.finish_run(worker, run, EndKind.LAPSED, run.checkpoint)


def _note_answer(
    scheduler: Scheduler, worker: Worker, look: Look, now_ms: float
) -> None:
    """Take in that a worker answers, whatever it lists."""
    worker.read_clock(look, now_ms)
    if not worker.fenced:
        scheduler.suspects.retract_losses(worker.report.worker_id)
        # An earlier owner may have given what runs here a whole lease just now: taken
        # for one without any lease, it would count as lapsed and start again at once.
        earlier_ms = look.clock_ms + scheduler.limits.task_lease_ms
        worker.lease_until_ms = max(worker.lease_until_ms, earlier_ms)
    worker.fenced = True
    if worker.silence is not None:
        retract_exposed(scheduler, worker)
        worker.silence = None
    worker.is_awaited = False
    worker.is_news = True
    note_unread(worker, look)


def _take_end(scheduler: Scheduler, worker: Worker, end: End, now_ms: float) -> None:
    if not worker.is_new_end(end.number):
        return
    state = scheduler.jobs.get(end.task.job_id)
    run = worker.runs.get((end.task, end.attempt))
    if run is not None:
        scheduler.finish_run(worker, run, end.kind, end.checkpoint)
    elif state is not None:
        # An attempt of an earlier owner, or one that was given up as lapsed.
        task = state.find_task(end.task)
        if task is not None:
            task.last_attempt = max(task.last_attempt, end.attempt)
            scheduler.take_effect(task, end.attempt, end.kind, end.checkpoint)
    _judge(scheduler, worker, end, now_ms)
    version = state.version if state is not None else 0

    def is_saved() -> bool:
        if state is None:
            return end.task.job_id not in scheduler.held_back
        return state.saved_version >= version and state.phase_saved

    worker.take_end(end.number, is_saved)


def _judge(scheduler: Scheduler, worker: Worker, end: End, now_ms: float) -> None:
    if end.kind is EndKind.DONE:
        worker.faulty_jobs.clear()
    elif end.kind is EndKind.FAILED:
        # Jobs and not attempts: a job that can't be done fails wherever it is.
        worker.faulty_jobs.add(end.task.job_id)
        faults = len(worker.faulty_jobs)
        if faults >= _FAULTS_TO_AVOID:
            pause = _FAULT_PAUSE_MS * 2 ** (faults - _FAULTS_TO_AVOID)
            pause = min(pause, _LONGEST_FAULT_PAUSE_MS)
            worker.avoid_until_ms = max(worker.avoid_until_ms, now_ms + pause)


def _take_running(
    scheduler: Scheduler, worker: Worker, running: Running, now_ms: float
) -> None:
    run = worker.runs.get((running.task, running.attempt))
    if run is None:
        run = _adopt(scheduler, worker, running, now_ms)
    if run.phase is RunPhase.STARTING:
        run.phase = RunPhase.RUNNING
        run.confirmed_ms = now_ms
    if not run.seen or running.percent != run.percent:
        run.progressed_ms = now_ms
    run.seen = True
    run.seen_ms = now_ms
    if running.percent is not None:
        run.percent = running.percent
    if running.load is not None:
        run.load = running.load
    run.checkpoint = running.checkpoint or run.checkpoint


def _hold_unread(
    scheduler: Scheduler, worker: Worker, key: tuple[TaskId, int], now_ms: float
) -> None:
    """Hold an attempt whose end can't be read as if it ran, while its job is open.

    Guards against a task that is done and started again at a takeover: its end is all
    that the new owner could know it by. Once the job has ended, how the attempt ended
    has no effect any more; only stops would be sent to it for good.
    """
    name, attempt = key
    state = scheduler.jobs.get(name.job_id)
    task = state.find_task(name) if state is not None else None
    if state is None or task is None:
        return
    run = worker.runs.get(key)
    if not state.is_open or task.done:
        if run is not None:
            scheduler.finish_run(worker, run, EndKind.LAPSED, "")
        return
    if run is None and not task.attempts and attempt >= task.last_attempt:
        running = Running(
            task=name, attempt=attempt, checkpoint="", percent=None, load=None
        )
        _take_running(scheduler, worker, running, now_ms)


def _estimate_age(step: Step, running: Running) -> float:
    """Return about how long an earlier owner's attempt has run, in ms.

    Guards against a task that seems to have just started when its worker crashes, only
    because its owner has just changed.
    """
    if running.percent is None:
        return 0.0
    if step.long_running:
        return _AT_WORK_MS if running.percent >= 100 else 0.0
    return step.estimate_ms * running.percent / 100.0


def _adopt(
    scheduler: Scheduler, worker: Worker, running: Running, now_ms: float
) -> Run:
    """Take in an attempt that an earlier owner started."""
    state = scheduler.jobs.get(running.task.job_id)
    task = state.find_task(running.task) if state is not None else None
    run = Run(
        task=running.task,
        attempt=running.attempt,
        room=task.step.room if task is not None else Demand(),
        borrowed_cpu=task.step.borrowed_cpu if task is not None else 0,
        phase=RunPhase.RUNNING,
        started_ms=now_ms - (_estimate_age(task.step, running) if task else 0.0),
        confirmed_ms=now_ms,
        # The earlier owner may have slowed it; this has its pace ordered anew.
        pace=_UNSURE_PACE,
    )
    worker.hold(run)
    if running.task.job_id in scheduler.held_back:
        return run
    if state is None or task is None:
        run.phase = RunPhase.STOPPING
        worker.ordered[run] = None
        return run
    state.started = True
    task.last_attempt = max(task.last_attempt, running.attempt)
    task.attempts.append(Attempt(worker=worker, run=run))
    scheduler.waiting.discard(task)
    if not state.is_open or task.done or len(task.attempts) > 1:
        scheduler.stop_attempts(task, keep=1 if state.is_open else 0)
    return run


def shares_with_services(scheduler: Scheduler, worker: Worker) -> bool:
    """Tell whether fillers run beside tasks with a latency limit on a worker."""
    fillers = serving = False
    for run in worker.runs.values():
        state = scheduler.jobs.get(run.task.job_id)
        if state is not None and run.task.step < len(state.job.steps):
            step = state.job.steps[run.task.step]
            fillers = fillers or step.filler
            serving = serving or bool(step.latency_limit_ms)
    return fillers and serving
