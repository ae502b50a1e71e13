"""Runs of tasks and the evidence of their ends, from log lines."""

from collections import defaultdict
from collections.abc import Iterable, Iterator

import attrs

from trefoilhook.account.sizes import read_number
from trefoilhook.interruptions.core import UNKNOWN, RunEnd
from trefoilhook.story import LogLine

__all__ = ["Loss", "Run", "RunLog", "find_end", "get_job", "read_runs"]

_MS_PER_S = 1000.0

_MAX_STEP_TASKS = 10_000
"""Maximum number of tasks per step; bounds the memory used for a corrupt line."""

_RUN_EVENTS = frozenset({"TASK_STARTED", "TASK_ENDED", "TASK_GIVEN_UP", "TASK_STOPPED"})

_ANSWERS = frozenset({"TASK_STARTED", "TASK_ENDED"})
"""Events that follow from an answer of the worker."""

_JOB_ENDS = frozenset({"JOB_CANCELLED", "JOB_FINISHED"})

_DONE = "done"

_NOT_WANTED = "not wanted"
"""Reason for which a task is stopped that is not to be started again."""

_CONNECTION_LOST = "connection lost"
"""Reason of a loss that is noticed when it happens, not by silence."""

_FINAL_LOSSES = frozenset({"leases lapsed", "left", "restarted"})
"""Reasons of losses after which nothing runs any more, even if the worker is back."""


@attrs.define(kw_only=True)
class Run:
    """One run of a task, with the lines that tell of it.

    Parameters
    ----------
    task : str
        Id of the task.
    attempt : int
        Number of the attempt.
    worker : str
        Id of the worker.
    start, end, abandonment : LogLine or None
        Its first ``TASK_STARTED``, ``TASK_ENDED`` and ``TASK_GIVEN_UP``.
    is_wanted : bool
        Whether the task is to be started again after the run.
    """

    task: str
    attempt: int
    worker: str
    start: LogLine | None = None
    end: LogLine | None = None
    abandonment: LogLine | None = None
    is_wanted: bool = True

    def add_line(self, line: LogLine) -> None:
        """Evaluate a line about the run."""
        if line.event == "TASK_STARTED":
            self.start = self.start or line
        elif line.event == "TASK_GIVEN_UP":
            self.abandonment = self.abandonment or line
        elif line.event == "TASK_ENDED":
            self.end = self.end or line
            self.is_wanted &= line.fields.get("how") != _DONE
        else:
            self.is_wanted &= line.fields.get("why") != _NOT_WANTED


@attrs.define(kw_only=True)
class Loss:
    """Loss of a worker.

    Parameters
    ----------
    line : LogLine
        The line that tells of it.
    back_s : float or None
        When the worker was first heard of again, in s since the Unix epoch.
    """

    line: LogLine
    back_s: float | None = None

    def proves_end(self, limit_s: float) -> bool:
        """Return whether the worker's runs ended, given what followed until then."""
        if self.line.fields.get("why") in _FINAL_LOSSES:
            return True
        return self.back_s is None or self.back_s >= limit_s


@attrs.define(kw_only=True)
class RunLog:
    """What log lines tell of tasks, workers and jobs.

    Parameters
    ----------
    runs : dict of str to dict of int to Run
        Runs by task and attempt.
    losses : dict of str to list of Loss
        Losses by worker, in order.
    waits : dict of str to list of LogLine
        ``TASK_WAITS`` by task, in order.
    step_waits : dict of str to list of LogLine
        ``TASK_WAITS`` by step, in order.
    service_steps, batch_steps : set of str
        Steps whose tasks run until their job is cancelled, and others.
    service_jobs : set of str
        Jobs with such steps.
    job_ends : dict of str to float
        When jobs were cancelled or finished, in s since the Unix epoch.
    acceptances : dict of str to float
        Times at which jobs were accepted, in s since the Unix epoch.
    service_tasks : set of str
        Tasks of the service steps that are listed in ``JOB_ACCEPTED``.
    """

    runs: dict[str, dict[int, Run]] = attrs.Factory(lambda: defaultdict(dict))
    losses: dict[str, list[Loss]] = attrs.Factory(lambda: defaultdict(list))
    waits: dict[str, list[LogLine]] = attrs.Factory(lambda: defaultdict(list))
    step_waits: dict[str, list[LogLine]] = attrs.Factory(lambda: defaultdict(list))
    service_steps: set[str] = attrs.Factory(set)
    batch_steps: set[str] = attrs.Factory(set)
    service_jobs: set[str] = attrs.Factory(set)
    job_ends: dict[str, float] = attrs.Factory(dict)
    acceptances: dict[str, float] = attrs.Factory(dict)
    service_tasks: set[str] = attrs.Factory(set)

    def add_line(self, line: LogLine) -> None:
        """Evaluate a line; lines must be added in order of time."""
        fields = line.fields
        if line.event in _RUN_EVENTS:
            self._add_run_line(line)
        elif line.event == "TASK_WAITS":
            task = str(fields.get("task"))
            self.waits[task].append(line)
            self.step_waits[_get_step(task)].append(line)
            is_service = fields.get("long_running") is True
            steps = self.service_steps if is_service else self.batch_steps
            steps.add(_get_step(task))
        elif line.event == "QUEUE_WAITS" and fields.get("restart_task"):
            self.service_steps.add(_get_step(str(fields["restart_task"])))
        elif line.event == "SERVICE_SHORT":
            self.service_jobs.add(str(fields.get("job")))
        elif line.event == "WORKER_LOST":
            self.losses[str(fields.get("worker"))].append(Loss(line=line))
        elif line.event == "WORKER_BACK":
            self._note_answer(line)
        elif line.event == "JOB_ACCEPTED":
            self._add_acceptance(line)
        elif line.event in _JOB_ENDS:
            self.job_ends.setdefault(str(fields.get("job")), line.time_s)

    def is_service(self, task: str) -> bool:
        """Return whether a task is known to run until its job is cancelled."""
        step = _get_step(task)
        if step in self.service_steps:
            return True
        return get_job(task) in self.service_jobs and step not in self.batch_steps

    def list_first_waits(self) -> Iterator[tuple[str, Run | None]]:
        """Yield the service tasks of accepted jobs with their first run, if any."""
        known = self.service_tasks | self.runs.keys() | self.waits.keys()
        for task in known:
            if get_job(task) in self.acceptances and self.is_service(task):
                attempts = self.runs.get(task, {})
                yield task, attempts[min(attempts)] if attempts else None

    def list_first_samples(self, task: str) -> list[LogLine]:
        """Return the ``TASK_WAITS`` that apply to a task that has not run.

        Each line names only one task of a step, but applies to all its tasks that have
        not run.
        """
        return [
            line
            for line in self.step_waits.get(_get_step(task), ())
            if not line.fields.get("last_attempt")
        ]

    def _add_acceptance(self, line: LogLine) -> None:
        job = str(line.fields.get("job"))
        self.acceptances.setdefault(job, line.time_s)
        services = line.fields.get("services")
        if not isinstance(services, dict):
            return
        for index, count in services.items():
            step = f"{job}.0.{index}"
            self.service_steps.add(step)
            if isinstance(count, int):
                tasks = range(min(count, _MAX_STEP_TASKS))
                self.service_tasks.update(f"{step}.{number}" for number in tasks)

    def _add_run_line(self, line: LogLine) -> None:
        task = str(line.fields.get("task"))
        attempt = line.fields.get("attempt")
        if not isinstance(attempt, int):
            return
        run = self.runs[task].get(attempt)
        if run is None:
            worker = str(line.fields.get("worker"))
            run = Run(task=task, attempt=attempt, worker=worker)
            self.runs[task][attempt] = run
        run.add_line(line)
        if line.fields.get("how") == _DONE:
            self.batch_steps.add(_get_step(task))
        if line.event in _ANSWERS:
            self._note_answer(line)

    def _note_answer(self, line: LogLine) -> None:
        for loss in self.losses.get(str(line.fields.get("worker")), ()):
            if loss.back_s is None:
                loss.back_s = line.time_s


def read_runs(ordered: Iterable[LogLine]) -> RunLog:
    """Read what log lines that are sorted by time tell of runs."""
    log = RunLog()
    for line in ordered:
        log.add_line(line)
    return log


def get_job(task: str) -> str:
    """Return the id of a task's job."""
    return task.partition(".")[0]


def _get_step(task: str) -> str:
    """Return the id of a task's step."""
    return task.rpartition(".")[0]


def find_end(run: Run, losses: Iterable[Loss], following: Run | None) -> RunEnd | None:
    """Return the end of a run by the first line that proves it.

    The loss of a worker proves nothing if the worker answered later, unless its leases
    had expired or its process had restarted.

    Parameters
    ----------
    run : Run
        The run.
    losses : iterable of Loss
        Losses of its worker, in order.
    following : Run or None
        The next run of the task.

    Returns
    -------
    RunEnd or None
        None if the run has not ended, as far as the logs tell.
    """
    start = following.start if following is not None else None
    limit_s = start.time_s if start is not None else float("inf")
    lines = [run.end, run.abandonment, _find_loss(run, losses, limit_s)]
    proofs = [line for line in lines if line is not None]
    if proofs:
        return _build_end(run, min(proofs, key=lambda line: line.time_s))
    if start is None:
        return None
    waited_s = read_number(start.fields.get("waited_ms")) / _MS_PER_S
    return RunEnd(at_s=start.time_s - waited_s, evidence=UNKNOWN)


def _find_loss(run: Run, losses: Iterable[Loss], limit_s: float) -> LogLine | None:
    began_s = run.start.time_s if run.start is not None else float("-inf")
    for loss in losses:
        if began_s <= loss.line.time_s < limit_s and loss.proves_end(limit_s):
            return loss.line
    return None


def _build_end(run: Run, line: LogLine) -> RunEnd:
    """Return the end that a line proves."""
    name = "how" if line.event == "TASK_ENDED" else "why"
    outcome = str(line.fields.get(name))
    silent_s = 0.0
    if line.event != "TASK_ENDED" and outcome != _CONNECTION_LOST:
        silent_s = read_number(line.fields.get("silent_ms")) / _MS_PER_S
    began_s = run.start.time_s if run.start is not None else float("-inf")
    return RunEnd(
        at_s=max(began_s, line.time_s - silent_s),
        evidence=f"{line.event} {name}={outcome}",
    )
