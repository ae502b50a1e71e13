"""Simulated tasks of a worker: progress, end and records."""

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
    """Slowdown of one task class by another on the same worker.

    Parameters
    ----------
    victim_class : str
        Class that is slowed down.
    neighbour_class : str
        Class that causes the slowdown.
    factor : float
        Ratio of the victim's run time to its run time alone, with all cores of the
        worker in use; the excess over 1 scales with the fraction of cores in use.
    """

    victim_class: str
    neighbour_class: str
    factor: float


@attrs.frozen(kw_only=True)
class StartRecord:
    """Record of a task start on a worker.

    Parameters
    ----------
    worker_id : str
        Worker that ran the task.
    job_id : str
        Job of the task.
    attempt_epoch, attempt_sequence : int
        Epoch and sequence number of the attempt.
    owner_epoch : int
        Epoch of the owner that started the task.
    started_ms : float
        Wall-clock time of the start, in ms.
    ended_ms : float or None
        Wall-clock time of the end, in ms; None while the task runs.
    state : str
        State of the task; ``lost`` if its worker crashed.
    resumed_ms : float
        Work restored from a checkpoint, in ms.
    done_ms : float
        Work completed so far, in ms, including restored work.
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
    """A simulated task; `WorkerState` advances it.

    Parameters
    ----------
    command : WorkerCommand
        Command that started the task.
    used : Resources
        Resources that it actually uses.
    work_ms : float
        Total work, in ms of run time alone; infinite for a task that does not end.
    is_failing : bool
        Whether it fails once its work is completed.
    outcome : str
        Result reported at its end.
    resumed_ms : float
        Work restored from a checkpoint, in ms.
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
        """Job id, attempt epoch and attempt sequence number."""
        command = self.command
        return (command.job_id, command.attempt_epoch, command.attempt_sequence)

    @property
    def reserved_resources(self) -> Resources:
        """Reserved resources."""
        assert self.command.resources is not None
        return self.command.resources

    def end(self, state: TaskState, *, at_ms: float, result: str = "") -> None:
        """End the task in the given state."""
        self.state = state
        self.ended_ms = at_ms
        self.result = result
        if state is TaskState.EVICTED:
            self.checkpoint = json.dumps({"done_ms": self.done_ms})

    def describe(self) -> WorkerTask:
        """Return the description sent to the owner."""
        return WorkerTask(
            job_id=self.command.job_id,
            attempt_epoch=self.command.attempt_epoch,
            attempt_sequence=self.command.attempt_sequence,
            state=self.state,
            resources=self.reserved_resources,
            task_class=self.command.task_class,
            checkpoint=self.checkpoint,
            result=self.result,
        )

    def measure(self, slowdown: float) -> TaskUsage:
        """Return the measured resource usage."""
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
        """Return a record of the start, with wall-clock times."""
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
    """Build the task for a start command.

    Notes
    -----
    A payload that is a JSON object may set the actual behaviour of the task:
    ``run_ms``, ``cores``, ``memory_bytes``, ``accelerators``, ``is_failing`` and
    ``result``. Missing run time and resources are as declared.
    """
    assert command.resources is not None
    actual = _read_object(command.payload)
    declared_ms = command.declared_run_ms or float("inf")
    resumed_ms = float(_read_object(command.checkpoint).get("done_ms", 0.0))
    declared = command.resources
    used = Resources(
        cores=float(actual.get("cores", declared.cores)),
        memory_bytes=int(actual.get("memory_bytes", declared.memory_bytes)),
        accelerators=int(actual.get("accelerators", declared.accelerators)),
    )
    return SimulatedTask(
        command=command,
        used=used,
        work_ms=float(actual.get("run_ms", declared_ms)),
        is_failing=bool(actual.get("is_failing", False)),
        outcome=str(actual.get("result", f"done {command.job_id}")),
        resumed_ms=resumed_ms,
        done_ms=resumed_ms,
    )
