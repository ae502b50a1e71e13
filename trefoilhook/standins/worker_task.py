"""A task in simulated time: how fast it goes and when it ends."""

import json
from typing import Any

import attrs

from trefoilhook.workers import (
    Resources,
    TaskState,
    TaskUsage,
    WorkerCommand,
    WorkerTask,
)

__all__ = ["PairSlowdown", "SimulatedTask", "StartRecord", "build_task"]

AttemptKey = tuple[str, int, int]


@attrs.frozen(kw_only=True)
class PairSlowdown:
    """How much one class of task slows another on the same worker.

    Parameters
    ----------
    victim_class : str
        Class that is slowed.
    neighbour_class : str
        Class that slows it.
    factor : float
        Its time over that when running alone, on a worker whose cores are all in use;
        with fewer in use the excess over 1 shrinks in proportion.
    """

    victim_class: str
    neighbour_class: str
    factor: float


@attrs.frozen(kw_only=True)
class StartRecord:
    """One start of a task, as the worker recorded it.

    Parameters
    ----------
    worker_id : str
        Where it ran.
    job_id : str
        The job.
    attempt_epoch, attempt_sequence : int
        The attempt.
    owner_epoch : int
        Epoch of the owner that started it.
    started_ms : float
        Wall time of the start, in ms.
    ended_ms : float or None
        Wall time of the end, in ms; None while it runs.
    state : str
        State of the task; ``lost`` when its worker died.
    resumed_ms : float
        Work that its checkpoint spared it, in ms.
    done_ms : float
        Work done up to now, in ms, what was spared included.
    """

    worker_id: str
    job_id: str
    attempt_epoch: int
    attempt_sequence: int
    owner_epoch: int
    started_ms: float
    ended_ms: float | None
    state: str
    resumed_ms: float
    done_ms: float


@attrs.define(kw_only=True)
class SimulatedTask:
    """One task; its work advances as the worker tells it.

    Parameters
    ----------
    command : WorkerCommand
        What started it.
    used : Resources
        What it truly uses.
    work_ms : float
        Its whole work, in ms when running alone; infinite for no end.
    is_failing : bool
        Whether it fails once its work is done.
    outcome : str
        What it answers at its end.
    resumed_ms : float
        Work that its checkpoint spared it, in ms.
    """

    command: WorkerCommand
    used: Resources
    work_ms: float
    is_failing: bool
    outcome: str
    resumed_ms: float
    done_ms: float = 0.0
    owner_epoch: int = 0
    state: TaskState = TaskState.RUNNING
    throttle_factor: float = 1.0
    checkpoint: str = ""
    result: str = ""
    started_ms: float = 0.0
    ended_ms: float | None = None
    is_lost: bool = False

    @property
    def key(self) -> AttemptKey:
        """Job and attempt."""
        command = self.command
        return (command.job_id, command.attempt_epoch, command.attempt_sequence)

    @property
    def held(self) -> Resources:
        """What it was given."""
        assert self.command.resources is not None
        return self.command.resources

    def end(self, state: TaskState, *, at_ms: float, result: str = "") -> None:
        """Let it end."""
        self.state = state
        self.ended_ms = at_ms
        self.result = result
        if state is TaskState.EVICTED:
            self.checkpoint = json.dumps({"done_ms": self.done_ms})

    def describe(self) -> WorkerTask:
        """Return it as the worker tells its owner."""
        return WorkerTask(
            job_id=self.command.job_id,
            attempt_epoch=self.command.attempt_epoch,
            attempt_sequence=self.command.attempt_sequence,
            state=self.state,
            resources=self.held,
            task_class=self.command.task_class,
            checkpoint=self.checkpoint,
            result=self.result,
        )

    def measure(self, slowdown: float) -> TaskUsage:
        """Return what it uses."""
        return TaskUsage(
            job_id=self.command.job_id,
            attempt_epoch=self.command.attempt_epoch,
            attempt_sequence=self.command.attempt_sequence,
            task_class=self.command.task_class,
            resources=attrs.evolve(
                self.used, cores=self.used.cores * self.throttle_factor
            ),
            slowdown=slowdown,
            is_throttled=self.throttle_factor < 1,
        )

    def record(self, worker_id: str, *, wall_offset_ms: float) -> StartRecord:
        """Return it as a record, with times on the wall clock."""
        ended_ms = self.ended_ms
        return StartRecord(
            worker_id=worker_id,
            job_id=self.command.job_id,
            attempt_epoch=self.command.attempt_epoch,
            attempt_sequence=self.command.attempt_sequence,
            owner_epoch=self.owner_epoch,
            started_ms=self.started_ms + wall_offset_ms,
            ended_ms=ended_ms + wall_offset_ms if ended_ms is not None else None,
            state="lost" if self.is_lost else self.state.value,
            resumed_ms=self.resumed_ms,
            done_ms=self.done_ms,
        )


def _read_object(text: str) -> dict[str, Any]:
    try:
        value = json.loads(text)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def build_task(command: WorkerCommand) -> SimulatedTask:
    """Build the task that a start asks for.

    Notes
    -----
    A payload that is a JSON object may tell the truth about the task: ``run_ms``,
    ``cores``, ``memory_bytes``, ``accelerators`` that it uses, ``is_failing``, and the
    ``result`` that it answers. What it leaves out is as declared.
    """
    assert command.resources is not None
    truth = _read_object(command.payload)
    declared_ms = command.declared_run_ms or float("inf")
    resumed_ms = float(_read_object(command.checkpoint).get("done_ms", 0.0))
    declared = command.resources
    used = Resources(
        cores=float(truth.get("cores", declared.cores)),
        memory_bytes=int(truth.get("memory_bytes", declared.memory_bytes)),
        accelerators=int(truth.get("accelerators", declared.accelerators)),
    )
    return SimulatedTask(
        command=command,
        used=used,
        work_ms=float(truth.get("run_ms", declared_ms)),
        is_failing=bool(truth.get("is_failing", False)),
        outcome=str(truth.get("result", f"done {command.job_id}")),
        resumed_ms=resumed_ms,
        done_ms=resumed_ms,
    )
